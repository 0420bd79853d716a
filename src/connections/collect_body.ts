import type { IncomingMessage } from "node:http";
import { BlockPool } from "./block_pool.ts";
import { ByteQueue } from "./byte_queue.ts";
import { findGuardedConnection } from "./guarded_server.ts";

/** Limits for collecting a body. */
export interface BodyLimits {
  readonly maximumBodyBytes: number;
  /** Timeout for the whole body, in ms. */
  readonly timeoutMs: number;
}

/** Result of collecting a body. */
export type BodyResult =
  | { readonly kind: "complete"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  | { readonly kind: "too_slow" }
  /** The connections occupy too much memory. */
  | { readonly kind: "no_memory" }
  /** The connection was closed before the end of the body. */
  | { readonly kind: "incomplete" };

/** A body that is being collected. */
export interface BodyCollection {
  readonly result: Promise<BodyResult>;
  /** Stops collecting and drops what was received; the result stays pending. */
  cancel(): void;
}

/** Starts to collect the body of a request. After any result but `complete`, the rest of the body is unread. */
export function collectBody(
  request: IncomingMessage,
  { maximumBodyBytes, timeoutMs }: BodyLimits,
): BodyCollection {
  const connection = findGuardedConnection(request);
  const received = new ByteQueue(connection?.blocks ?? new BlockPool(0));
  let cancel!: () => void;
  const result = new Promise<BodyResult>((resolve) => {
    const finish = (value: BodyResult) => {
      cancel();
      resolve(value);
    };
    const timer = setTimeout(() => finish({ kind: "too_slow" }), timeoutMs);
    const onData = (chunk: Buffer) => {
      received.append(chunk);
      if (received.length > maximumBodyBytes) finish({ kind: "too_large" });
    };
    const onEnd = () => finish({ kind: "complete", body: received.concat() });
    const onClose = () => finish({ kind: "incomplete" });
    cancel = () => {
      clearTimeout(timer);
      request.off("data", onData).off("end", onEnd).off("close", onClose);
      // Without a reader, Node would queue the rest of the body.
      request.pause();
      received.clear();
      if (connection !== undefined) connection.refuseBody = undefined;
      connection?.releaseBody();
    };
    if (connection !== undefined) {
      connection.refuseBody = () => finish({ kind: "no_memory" });
    }
    request.on("data", onData).on("end", onEnd).on("close", onClose);
    // Without an error listener, a connection reset would crash the process.
    request.on("error", () => {});
  });
  return { result, cancel };
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
    request.on("error", () => {}).on("data", () => {}).resume();
  });
}

/** Largest unread body that is drained to reuse the connection, in bytes; the connection is closed after a larger one. */
const MAXIMUM_DRAINED_BODY_BYTES = 65_536;

/** Returns whether the unread body may be too large to drain before the connection is reused. */
export function hasLargeUnreadBody(request: IncomingMessage): boolean {
  if (request.complete) return false;
  const contentLength = request.headers["content-length"];
  return contentLength === undefined
    ? request.headers["transfer-encoding"] !== undefined
    : Number(contentLength) > MAXIMUM_DRAINED_BODY_BYTES;
}
