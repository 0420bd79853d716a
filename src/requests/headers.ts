import {
  DEADLINE_HEADER,
  FORWARDED_BY_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  LEAVING_HEADER,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
} from "../constants.ts";

/** Hop-by-hop headers, which aren't forwarded. */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Request headers that aren't forwarded because the entry handles or sets them. */
const REPLACED_IN_REQUESTS = new Set([
  "content-length",
  "expect",
  REQUEST_ID_HEADER,
  DEADLINE_HEADER,
  FORWARDED_BY_HEADER,
  IDEMPOTENCY_KEY_HEADER,
]);

/** Response headers that aren't forwarded because the entry handles or sets them. */
const REPLACED_IN_RESPONSES = new Set([
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  LEAVING_HEADER,
]);

/** Returns the header names in the connection header, which are hop-by-hop too. */
function connectionOptions(raw: readonly string[]): Set<string> | undefined {
  let names: Set<string> | undefined;
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() !== "connection") continue;
    for (const name of raw[index + 1]!.split(",")) {
      (names ??= new Set()).add(name.trim().toLowerCase());
    }
  }
  return names;
}

function filterHeaders(
  raw: readonly string[],
  replaced: ReadonlySet<string>,
): string[] {
  const connectionSpecific = connectionOptions(raw);
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    if (
      HOP_BY_HOP.has(name) || replaced.has(name) ||
      connectionSpecific?.has(name)
    ) {
      continue;
    }
    kept.push(raw[index]!, raw[index + 1]!);
  }
  return kept;
}

/** Returns the headers of a caller's request that are forwarded to a backend server. */
export function filterRequestHeaders(raw: readonly string[]): string[] {
  return filterHeaders(raw, REPLACED_IN_REQUESTS);
}

/** Returns the headers of a backend server's response that are forwarded to the caller. */
export function filterResponseHeaders(raw: readonly string[]): string[] {
  return filterHeaders(raw, REPLACED_IN_RESPONSES);
}

/** Returns the last value of the header with the given lower-case name. */
export function findHeader(
  raw: readonly string[],
  name: string,
): string | undefined {
  let value: string | undefined;
  for (let index = 0; index < raw.length; index += 2) {
    const candidate = raw[index]!;
    if (
      candidate.length === name.length && candidate.toLowerCase() === name
    ) value = raw[index + 1];
  }
  return value;
}
