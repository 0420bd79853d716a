import type { IncomingMessage, ServerResponse } from "node:http";
import { getTRPCErrorFromUnknown, TRPCError } from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import { TRPC_ERROR_CODES_BY_KEY } from "@trpc/server/rpc";

/** Path of the gossip call in trpc's HTTP format. */
export const EXCHANGE_PATH = "exchange";

/** Whether a request is a gossip call that `serveExchange` understands; the others are the adapter's. */
export function isExchange(request: IncomingMessage): boolean {
  return request.method === "POST" && request.url === `/${EXCHANGE_PATH}` &&
    request.headers["content-type"] === "application/json";
}

async function readInput(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += chunk.length;
    if (bytes > maximumBytes) {
      throw new TRPCError({ code: "PAYLOAD_TOO_LARGE" });
    }
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString());
  } catch (cause) {
    throw new TRPCError({ code: "BAD_REQUEST", cause });
  }
}

function describeError(error: TRPCError, httpStatus: number): unknown {
  const data = { code: error.code, httpStatus, path: EXCHANGE_PATH };
  const code = TRPC_ERROR_CODES_BY_KEY[error.code];
  return { error: { message: error.message, code, data } };
}

/**
 * Answers one gossip call in trpc's HTTP format. The adapter builds a web
 * request and streams for each call, which made up a fifth of an idle entry's
 * profile.
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
    const input = await readInput(request, options.maximumBytes);
    body = { result: { data: await options.exchange(input) } };
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    status = getHTTPStatusCodeFromError(error);
    body = describeError(error, status);
  }
  if (response.destroyed) return;
  // The rest of a request that was not read makes the connection useless.
  if (!request.complete) response.setHeader("connection", "close");
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
