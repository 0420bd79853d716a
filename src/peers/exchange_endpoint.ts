import type { IncomingMessage, ServerResponse } from "node:http";
import { getTRPCErrorFromUnknown, TRPCError } from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import { TRPC_ERROR_CODES_BY_KEY } from "@trpc/server/rpc";

/** Path of the gossip call in tRPC's HTTP format. */
export const EXCHANGE_PATH = "exchange";

/** Whether `serveExchange` can handle the request; all others go to tRPC's adapter. */
export function isExchange(request: IncomingMessage): boolean {
  return request.method === "POST" && request.url === `/${EXCHANGE_PATH}` &&
    request.headers["content-type"] === "application/json";
}

// Uses events, because an async iterator costs more than reading the few chunks.
function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= maximumBytes) return;
      request.pause();
      reject(new TRPCError({ code: "PAYLOAD_TOO_LARGE" }));
    });
    request.on("end", () => resolve(Buffer.concat(chunks).toString()));
    request.on("error", reject);
  });
}

async function readJsonBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<unknown> {
  const text = await readBody(request, maximumBytes);
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new TRPCError({ code: "BAD_REQUEST", cause });
  }
}

function toErrorBody(error: TRPCError, httpStatus: number): unknown {
  const data = { code: error.code, httpStatus, path: EXCHANGE_PATH };
  const code = TRPC_ERROR_CODES_BY_KEY[error.code];
  return { error: { message: error.message, code, data } };
}

/**
 * Handles one gossip call in tRPC's HTTP format. It bypasses tRPC's adapter,
 * which creates a web request and streams for each call; that took a fifth of an
 * idle entry's CPU profile.
 */
export async function serveExchange(
  request: IncomingMessage,
  response: ServerResponse,
  options: {
    readonly maximumBytes: number;
    readonly exchange: (input: unknown) => Promise<unknown>;
  },
): Promise<void> {
  let status = 200;
  let body: unknown;
  try {
    const input = await readJsonBody(request, options.maximumBytes);
    body = { result: { data: await options.exchange(input) } };
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    status = getHTTPStatusCodeFromError(error);
    body = toErrorBody(error, status);
  }
  if (response.destroyed) return;
  // A connection with unread request data can't be reused.
  if (!request.complete) response.setHeader("connection", "close");
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
