import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { createEventLoopLagMeter } from "./event_loop_lag.ts";

const RESPONSE_TIMEOUT_MS = 10_000;

/** Event loop lag of this process, which is subtracted from response times. */
export const eventLoopLagMs = createEventLoopLagMeter();

/** Properties of the raw bytes received for one request. */
export interface RawExchange {
  readonly statusLines: number;
  readonly complete: boolean;
  readonly outcome: string;
  readonly retryAfter: boolean;
  readonly elapsedMs: number;
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
