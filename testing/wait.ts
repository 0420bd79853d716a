import { setTimeout as delay } from "node:timers/promises";

const POLL_INTERVAL_MS = 20;

/** Polls until a condition holds; rejects after the timeout, 20 s by default, with a message that contains `what`. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
  options: { timeoutMs: number } = { timeoutMs: 20_000 },
): Promise<void> {
  const endMs = Date.now() + options.timeoutMs;
  while (!(await condition())) {
    if (Date.now() > endMs) throw new Error(`Timed out waiting until ${what}`);
    await delay(POLL_INTERVAL_MS);
  }
}
