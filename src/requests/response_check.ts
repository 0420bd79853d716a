import { REQUEST_ID_HEADER } from "../constants.ts";
import { findHeader } from "./headers.ts";

/** What the head of a response shows about its length. */
export type ResponseFraming =
  | { readonly kind: "none" }
  | { readonly kind: "length"; readonly bodyBytes: number }
  | { readonly kind: "chunked" }
  /** The body ends with the connection, so a truncated one can't be told apart. */
  | { readonly kind: "until_close" };

/** Head of a backend server's response. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
}

/** Returns how the end of a response's body is found. */
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
 * Whether a response head may belong to the request with this id. A server that
 * has echoed ids must go on doing so, except in error responses, which a
 * framework may write without the service's code.
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

/** Whether a response that the HTTP parser saw the end of has the announced length. */
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
