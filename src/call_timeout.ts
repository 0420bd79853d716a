import { startResponseTimeout } from "./timeout.ts";

/**
 * Runs a call with a signal that aborts on timeout or when the outer signal
 * aborts. The timer is cleared when the call settles. The timer of
 * `AbortSignal.timeout` would keep running and wake an idle process a second
 * time per call.
 */
export async function callWithTimeout<T>(
  call: (signal: AbortSignal) => Promise<T>,
  options: {
    readonly timeoutMs: number;
    readonly signal?: AbortSignal | undefined;
  },
): Promise<T> {
  const { timeoutMs, signal: outer } = options;
  const controller = new AbortController();
  const onAbort = () => controller.abort(outer?.reason);
  if (outer?.aborted) onAbort();
  outer?.addEventListener("abort", onAbort, { once: true });
  const timeout = startResponseTimeout(timeoutMs, () => {
    const message = "The operation was aborted due to timeout";
    controller.abort(new DOMException(message, "TimeoutError"));
  });
  try {
    return await call(controller.signal);
  } finally {
    timeout.clear();
    outer?.removeEventListener("abort", onAbort);
  }
}
