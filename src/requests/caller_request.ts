import type { IncomingMessage } from "node:http";
import { DEADLINE_HEADER, REQUEST_ID_HEADER } from "../constants.ts";
import { NotRunError } from "./outcome.ts";

/** A request of a caller whose body has arrived. */
export interface CallerRequest {
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  /** Path with query, as sent to the backend server. */
  readonly path: string;
  /** Names and values in turn, as they arrived. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  /** Monotonic time by which the request must be answered, in ms. */
  readonly deadlineAtMs: number;
  readonly key: string | undefined;
  /** Entry that forwarded the request, if any. */
  readonly forwardedBy: string | undefined;
  /** Whether the caller has closed its connection. */
  readonly isAbandoned: () => boolean;
}

/** Longest time that a caller may give a request, in ms. */
const MAXIMUM_DEADLINE_MS = 600_000;
const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const PATH_PATTERN = /^\/[\x21-\x7e]*$/;
/** A path segment `.` or `..`, also percent-encoded. */
const DOT_SEGMENT_PATTERN = /\/(\.|%2e){1,2}(?=[/?#]|$)/i;

/** Returns a single header value; undefined when the header is missing. */
export function readHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}

/** Returns the caller's request id if it is well-formed. */
export function parseRequestId(request: IncomingMessage): string | undefined {
  const id = readHeader(request, REQUEST_ID_HEADER);
  return id !== undefined && REQUEST_ID_PATTERN.test(id) ? id : undefined;
}

/** Returns the service that a path names; throws a `NotRunError`. */
export function parseServiceName(path: string): string {
  if (!PATH_PATTERN.test(path)) {
    throw new NotRunError(
      "invalid_path",
      "The path must start with / and the name of a service",
    );
  }
  // A backend server that resolves dot segments could read the path as another service's.
  if (DOT_SEGMENT_PATTERN.test(path.split(/[?#]/, 1)[0]!)) {
    throw new NotRunError(
      "invalid_path",
      "The path must not have dot segments",
    );
  }
  return /^\/([^/?#]*)/.exec(path)![1]!;
}

/** Throws a `NotRunError` unless a request of HTTP/1.1 names one host. */
export function checkHost(request: IncomingMessage): void {
  const hosts =
    request.rawHeaders.filter((name, index) =>
      index % 2 === 0 && name.toLowerCase() === "host"
    ).length;
  if (hosts === 1 || (hosts === 0 && request.httpVersion === "1.0")) return;
  throw new NotRunError(
    "malformed_request",
    `The request has ${hosts} host headers, not one`,
  );
}

/** Returns the time that the caller gives, in ms, if it names one; throws a `NotRunError`. */
export function parseDeadlineMs(request: IncomingMessage): number | undefined {
  const text = readHeader(request, DEADLINE_HEADER);
  if (text === undefined) return undefined;
  const deadlineMs = Number(text);
  if (
    !/^\d{1,9}$/.test(text) || deadlineMs < 1 ||
    deadlineMs > MAXIMUM_DEADLINE_MS
  ) {
    throw new NotRunError(
      "invalid_deadline",
      `${DEADLINE_HEADER} must be a whole number of ms from 1 to ${MAXIMUM_DEADLINE_MS}`,
    );
  }
  return deadlineMs;
}

/** Whether the request announces a body; throws a `NotRunError` for a coding that can't be passed on. */
export function declaresBody(request: IncomingMessage): boolean {
  const coding = request.headers["transfer-encoding"];
  if (coding !== undefined && coding.toLowerCase() !== "chunked") {
    throw new NotRunError(
      "malformed_request",
      "The only transfer coding that is accepted is chunked",
    );
  }
  return coding !== undefined ||
    Number(request.headers["content-length"] ?? 0) > 0;
}
