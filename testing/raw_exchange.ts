import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { createEventLoopLagMeter } from "./event_loop_lag.ts";

const RESPONSE_TIMEOUT_MS = 10_000;

/** Returns the total event loop lag of this process, in ms, which is subtracted from response times. */
export const eventLoopLagMs = createEventLoopLagMeter();

/** Properties of the raw bytes received for one request. */
export interface RawExchange {
  /** Number of HTTP status lines; more than one means more than one response. */
  readonly statusLines: number;
  /** Whether the body is as long as its `content-length` header says. */
  readonly complete: boolean;
  /** Value of the outcome header, or an empty string without one. */
  readonly outcome: string;
  /** Whether the response has a `retry-after` header. */
  readonly retryAfter: boolean;
  /** Time from the establishment of the connection to its close, less the event loop lag, in ms. */
  readonly elapsedMs: number;
  /** Deadline that the request announced, in ms. */
  readonly deadlineMs: number;
}

/** Sends a request on a new connection and reads until the entry closes it. */
export function sendRawRequest(
  address: string,
  request: { path: string; deadlineMs: number; idempotencyKey?: string },
): Promise<RawExchange> {
  const [host, port] = address.split(":");
  const keyHeader = request.idempotencyKey === undefined
    ? ""
    : `idempotency-key: ${request.idempotencyKey}\r\n`;
  return new Promise((resolve) => {
    let text = "";
    let startedAtMs = performance.now();
    let lagBeforeMs = eventLoopLagMs();
    const socket = connect({ host, port: Number(port) }, () => {
      startedAtMs = performance.now();
      lagBeforeMs = eventLoopLagMs();
      socket.write(
        `GET ${request.path} HTTP/1.1\r\nhost: ${address}\r\nconnection: close\r\ncowslipferry-deadline-ms: ${request.deadlineMs}\r\n${keyHeader}\r\n`,
      );
    });
    const timer = setTimeout(() => socket.destroy(), RESPONSE_TIMEOUT_MS);
    socket.on("data", (chunk) => text += chunk);
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      const length = /\r\ncontent-length: (\d+)\r\n/i.exec(text)?.[1];
      const body = text.slice(text.indexOf("\r\n\r\n") + 4);
      resolve({
        statusLines: text.match(/HTTP\/1\.1 \d/g)?.length ?? 0,
        complete: Number(length) === Buffer.byteLength(body),
        outcome: /\r\ncowslipferry-outcome: (\w+)/i.exec(text)?.[1] ?? "",
        retryAfter: /\r\nretry-after: \d+/i.test(text),
        elapsedMs: performance.now() - startedAtMs -
          (eventLoopLagMs() - lagBeforeMs),
        deadlineMs: request.deadlineMs,
      });
    });
  });
}
