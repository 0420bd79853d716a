import type { IncomingMessage } from "node:http";
import { NotRunError } from "./outcome.ts";

/** Limits for reading a body. */
export interface BodyLimits {
  readonly maximumBodyBytes: number;
  /** Timeout for the whole body, in ms. */
  readonly timeoutMs: number;
}

/** A body that is being read. */
export interface BodyRead {
  /** Resolves with the body, or with undefined if it is empty; rejects with a `NotRunError`. */
  readonly body: Promise<Buffer | undefined>;
  /** Aborts reading with an error, such as one of the HTTP parser. */
  fail(error: NotRunError): void;
}

/** Starts reading a request's body, up to the limits. */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): BodyRead {
  let fail!: (error: NotRunError) => void;
  const body = new Promise<Buffer | undefined>((resolve, reject) => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const timer = setTimeout(
      () => fail(new NotRunError("slow_sender", "The body arrives too slowly")),
      limits.timeoutMs,
    );
    const onData = (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > limits.maximumBodyBytes) {
        return fail(bodyTooLarge(limits.maximumBodyBytes));
      }
      chunks.push(chunk);
    };
    const onEnd = () => {
      cleanUp();
      resolve(chunks.length === 0 ? undefined : Buffer.concat(chunks));
    };
    const onClose = () =>
      fail(new NotRunError("malformed_request", "The body ended early"));
    function cleanUp() {
      clearTimeout(timer);
      request.off("data", onData).off("end", onEnd).off("close", onClose);
    }
    fail = (error) => {
      cleanUp();
      reject(error);
    };
    request.on("data", onData).on("end", onEnd).on("close", onClose);
    // Without an error listener, a connection reset would crash the process.
    request.on("error", () => {});
  });
  return { body, fail };
}

/** Returns the error for a body over the limit. */
export function bodyTooLarge(maximumBodyBytes: number): NotRunError {
  return new NotRunError(
    "body_too_large",
    `The body is larger than ${maximumBodyBytes} bytes`,
  );
}

/**
 * Duration of a lingering close, in ms. Input is still read and discarded
 * during that time, so that the caller isn't reset before it has read the
 * response.
 */
export const LINGERING_CLOSE_MS = 1_000;

/** Reads and discards the rest of a body; resolves at its end or after `LINGERING_CLOSE_MS`. */
export function discardBody(request: IncomingMessage): Promise<void> {
  if (request.complete || request.socket.readableEnded) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, LINGERING_CLOSE_MS);
    const done = () => {
      clearTimeout(timer);
      resolve();
    };
    request.once("end", done).once("close", done);
    request.on("error", () => {}).resume();
  });
}
