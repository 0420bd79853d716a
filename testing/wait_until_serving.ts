import { callEntry } from "./caller.ts";
import type { EntryProcess } from "./deployment.ts";
import { waitFor } from "./wait.ts";

/** Waits until each entry returns an answer for each service, at most 30 s for each. */
export async function waitUntilServing(
  entries: readonly EntryProcess[],
  services: readonly string[],
): Promise<void> {
  for (const entry of entries) {
    for (const service of services) {
      const url = `http://${entry.callerAddress}/${service}/ready`;
      await waitFor(
        `${entry.id} answers for ${service}`,
        async () => (await callEntry(url)).kind === "answer",
        { timeoutMs: 30_000 },
      );
    }
  }
}
