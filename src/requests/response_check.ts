import { REQUEST_ID_HEADER } from "../constants.ts";
import { findHeader } from "./headers.ts";

/** How the length of a response body is determined. */
export type ResponseFraming =
  | { readonly kind: "none" }
  | { readonly kind: "length"; readonly bodyBytes: number }
  | { readonly kind: "chunked" }
  /** The body ends when the connection closes, so truncation can't be detected. */
  | { readonly kind: "until_close" };

/** Status and headers of a backend server's response. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/** Returns how the length of a response's body is determined (RFC 9112, section 6.3). */
export function resolveFraming(
  method: string,
  head: ResponseHead,
): ResponseFraming {
  if (method === "HEAD" || head.status === 204 || head.status === 304) {
    return { kind: "none" };
  }
  const encoding = findHeader(head.headers, "transfer-encoding");
  if (encoding !== undefined) {
    return /(^|,)\s*chunked\s*$/i.test(encoding)
      ? { kind: "chunked" }
      : { kind: "until_close" };
  }
  const length = findHeader(head.headers, "content-length");
  return length === undefined
    ? { kind: "until_close" }
    : { kind: "length", bodyBytes: Number(length) };
}

/**
 * Returns whether a response may belong to the request with the given id. A
 * server that has echoed request ids must continue to do so, except in error
 * responses, which a framework may write without running the service's code.
 */
export function matchesRequest(
  requestId: string,
  head: ResponseHead,
  echoesIds: boolean,
): boolean {
  const echoed = findHeader(head.headers, REQUEST_ID_HEADER);
  return echoed === undefined
    ? !(echoesIds && head.status < 400)
    : echoed === requestId;
}

/** Returns whether a response that the HTTP parser considers finished has its declared length. */
export function isComplete(
  framing: ResponseFraming,
  receivedBytes: number,
): boolean {
  switch (framing.kind) {
    case "none":
      return receivedBytes === 0;
    case "length":
      return receivedBytes === framing.bodyBytes;
    case "chunked":
      return true;
    case "until_close":
      return false;
  }
}
