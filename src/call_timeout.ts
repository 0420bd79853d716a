/**
 * Runs one call with a signal that aborts when the time is over or the outer
 * signal aborts. The timer ends with the call: one of `AbortSignal.timeout`
 * goes on, so that each call of an idle process would cost a second wake-up.
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
  const timer = setTimeout(() => {
    const message = "The operation was aborted due to timeout";
    controller.abort(new DOMException(message, "TimeoutError"));
  }, timeoutMs);
  try {
    return await call(controller.signal);
  } finally {
    clearTimeout(timer);
    outer?.removeEventListener("abort", onAbort);
  }
}
