import type { ServerResponse } from "node:http";
import { OUTCOME_HEADER, REQUEST_ID_HEADER } from "../constants.ts";
import { assertNever } from "../errors.ts";
import { filterResponseHeaders, findHeader } from "./headers.ts";
import {
  type BufferedResponse,
  buildErrorResponse,
  type Outcome,
  type StreamedResponse,
} from "./outcome.ts";

/** Options for writing an outcome to its caller. */
export interface ReplyOptions {
  readonly requestId: string;
  /** Whether the caller's connection closes after this response. */
  readonly closeConnection: boolean;
  /** Delays closing the connection, but not the response, until the promise resolves. */
  readonly beforeClose?: () => Promise<void>;
}

/** Returns the value of the outcome header. */
export function outcomeName(outcome: Outcome): string {
  switch (outcome.kind) {
    case "answer":
    case "streamed_answer":
      return "answer";
    case "not_run":
    case "outcome_unknown":
      return outcome.kind;
    case "forwarded":
      return outcome.outcome;
    default:
      return assertNever(outcome);
  }
}

/** Writes the final response of a request; returns or resolves with whether it was forwarded completely. */
export function writeReply(
  response: ServerResponse,
  outcome: Outcome,
  options: ReplyOptions,
): Promise<boolean> | boolean {
  const reply = outcome.kind === "not_run" || outcome.kind === "outcome_unknown"
    ? buildErrorResponse(outcome.error)
    : outcome.response;
  const headers = filterResponseHeaders(reply.headers);
  headers.push(OUTCOME_HEADER, outcomeName(outcome));
  headers.push(REQUEST_ID_HEADER, options.requestId);
  if (options.closeConnection) headers.push("connection", "close");
  if ("source" in reply) return writeStream(response, reply, headers);
  writeBuffered(response, reply, { headers, beforeClose: options.beforeClose });
  return true;
}

function hasNoBody(response: ServerResponse, status: number): boolean {
  return response.req.method === "HEAD" || status === 204 || status === 304;
}

function writeBuffered(
  response: ServerResponse,
  reply: BufferedResponse,
  options: {
    readonly headers: string[];
    readonly beforeClose: (() => Promise<void>) | undefined;
  },
): void {
  const { status, body } = reply;
  const { headers, beforeClose } = options;
  if (hasNoBody(response, status)) {
    response.writeHead(status, headers);
    response.end();
    return;
  }
  if (findHeader(headers, "content-length") === undefined) {
    headers.push("content-length", String(body.length));
  }
  response.writeHead(status, headers);
  if (beforeClose === undefined) {
    response.end(body);
    return;
  }
  response.write(body);
  beforeClose().then(() => response.end());
}

function writeStream(
  response: ServerResponse,
  reply: StreamedResponse,
  headers: string[],
): Promise<boolean> {
  const { source } = reply;
  response.writeHead(reply.status, headers);
  response.on("drain", () => source.resume());
  response.on("close", () => {
    if (!response.writableFinished) source.cancel();
  });
  response.on("error", () => source.cancel());
  source.pipeTo({
    write: (chunk) => response.write(chunk),
    end: () => response.end(),
    // Unlike a regular close, a reset can't be mistaken for the end of the body.
    abort: () => response.socket?.resetAndDestroy(),
  });
  return source.ended;
}
