import type { Dispatcher } from "undici";
import { startResponseTimeout } from "./timeout.ts";

/** An HTTP call whose response is read as a whole. */
export interface HttpCall {
  /** `http://host:port`; required by dispatchers with several origins. */
  readonly origin?: string;
  /** Path with query. */
  readonly path: string;
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | undefined;
  readonly timeoutMs: number;
  /**
   * Restarts the timeout with each chunk of the response, because a large
   * response over a slow link takes longer than the timeout for a lost response.
   */
  readonly resetTimeoutOnData?: boolean;
  readonly signal?: AbortSignal | undefined;
}

/** Response of an HTTP call. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/**
 * Whether the error proves that the request never reached the server. Only a
 * failed attempt to connect does: the operating system ends open connections
 * with some of the same codes.
 */
export function isNotSent(error: unknown): boolean {
  // The attempts to connect to each address of a host.
  if (error instanceof AggregateError && error.errors.length > 0) {
    return error.errors.every(isNotSent);
  }
  const { code, syscall } = (error ?? {}) as {
    readonly code?: unknown;
    readonly syscall?: unknown;
  };
  return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}

/**
 * Sends a call; rejects with undici's error, a `TimeoutError` or the reason of
 * the outer signal. It uses `dispatch`, because undici's `request` creates
 * streams, an abort signal and timers for each response, which cost an idle
 * entry more than the rest of the call.
 */
export function sendHttpCall(
  dispatcher: Dispatcher,
  call: HttpCall,
): Promise<HttpResponse> {
  const { origin, path, method, body, timeoutMs, signal } = call;
  return new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(signal.reason);
    const chunks: Buffer[] = [];
    let status = 0;
    let headers: HttpResponse["headers"] = {};
    let activeController: Dispatcher.DispatchController | undefined;
    let failure: Error | undefined;

    function cleanUp(): void {
      timeout.clear();
      signal?.removeEventListener("abort", onAbort);
    }
    function fail(error: Error): void {
      failure = error;
      cleanUp();
      reject(error);
      activeController?.abort(error);
    }
    const onAbort = () => fail(signal?.reason);
    const timeout = startResponseTimeout(timeoutMs, () => {
      const message = "The operation was aborted due to timeout";
      fail(new DOMException(message, "TimeoutError"));
    });
    signal?.addEventListener("abort", onAbort, { once: true });

    dispatcher.dispatch({
      ...(origin === undefined ? {} : { origin }),
      path,
      method,
      headers: call.headers ?? {},
      body: body ?? null,
      // Disabled, because the timer of this call covers the whole response.
      headersTimeout: 0,
      bodyTimeout: 0,
    }, {
      onRequestStart(controller) {
        activeController = controller;
        // The call failed while it was queued for a connection, so it must not be sent.
        if (failure !== undefined) controller.abort(failure);
      },
      onResponseStart(_controller, statusCode, responseHeaders) {
        status = statusCode;
        headers = responseHeaders;
      },
      onResponseData(_controller, chunk) {
        if (call.resetTimeoutOnData) timeout.refresh();
        chunks.push(chunk);
      },
      onResponseEnd() {
        cleanUp();
        const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
        resolve({ status, headers, text: bytes.toString() });
      },
      onResponseError(_controller, error) {
        cleanUp();
        reject(error);
      },
    });
  });
}
