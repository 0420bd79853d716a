import type { IncomingMessage } from "node:http";
import { DEADLINE_HEADER, REQUEST_ID_HEADER } from "../constants.ts";
import { NotRunError } from "./outcome.ts";

/** A caller's request, including its body. */
export interface CallerRequest {
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  /** Path and query, as sent to the backend server. */
  readonly path: string;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  /** Monotonic time by which the request must be answered, in ms. */
  readonly deadlineAtMs: number;
  /** Idempotency key, if any. */
  readonly key: string | undefined;
  /** Id of the entry that forwarded the request, if any. */
  readonly forwardedBy: string | undefined;
  /** Returns whether the caller has closed its connection. */
  readonly isAbandoned: () => boolean;
}

/** Longest deadline that a caller may set, in ms. */
const MAXIMUM_DEADLINE_MS = 600_000;
const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const PATH_PATTERN = /^\/[\x21-\x7e]*$/;
/** Matches a path segment `.` or `..`, also when percent-encoded. */
const DOT_SEGMENT_PATTERN = /\/(\.|%2e){1,2}(?=[/?#]|$)/i;

/** Returns the value of a header, with repeated values joined; undefined when the header is missing. */
export function readHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}

/** Returns the request id that the caller sent; undefined when it is missing or malformed. */
export function parseRequestId(request: IncomingMessage): string | undefined {
  const id = readHeader(request, REQUEST_ID_HEADER);
  return id !== undefined && REQUEST_ID_PATTERN.test(id) ? id : undefined;
}

/** Returns the name of the service in a path; throws a `NotRunError` for an invalid path. */
export function parseServiceName(path: string): string {
  if (!PATH_PATTERN.test(path)) {
    throw new NotRunError(
      "invalid_path",
      "The path must start with / and the name of a service",
    );
  }
  // A backend server that resolves dot segments could see the path of another service.
  if (DOT_SEGMENT_PATTERN.test(path.split(/[?#]/, 1)[0]!)) {
    throw new NotRunError(
      "invalid_path",
      "The path must not have dot segments",
    );
  }
  return /^\/([^/?#]*)/.exec(path)![1]!;
}

/** Throws a `NotRunError` unless the request has exactly one host header, which is optional in HTTP/1.0. */
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

/** Returns the deadline header's value, in ms, if there is one; throws a `NotRunError` for an invalid value. */
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

/** Returns whether the request's headers declare a body; throws a `NotRunError` for an unsupported transfer coding. */
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

/** Returns whether a URL's path is the given path or below it. */
export function isUnderPath(url: string, path: string | undefined): boolean {
  return path !== undefined && url.startsWith(path) &&
    (url.length === path.length || "/?".includes(url[path.length]!));
}
