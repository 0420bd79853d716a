import { Agent, Client } from "undici";
import { sendHttpCall } from "../http_call.ts";

/** A JSON response of a platform service. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
  /** Names this version of the resource; undefined when the server gives none. */
  readonly etag: string | undefined;
}

/** Options of one JSON call. */
export interface JsonRequestOptions {
  readonly method?: "GET" | "PUT" | "POST" | "DELETE";
  readonly body?: unknown;
  /** Asks for a body only if the resource has another version than this one. */
  readonly ifNoneMatch?: string | undefined;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
  /** Ends the connection with the call; cheaper when the next call comes long after an idle connection is closed. */
  readonly dedicatedConnection?: boolean;
}

const CONNECTION_OPTIONS = { connect: { timeout: 1_000 }, pipelining: 1 };
const agent = new Agent(CONNECTION_OPTIONS);

/** Sends one JSON request; rejects with the client's error. */
export async function requestJson(
  url: string,
  options: JsonRequestOptions,
): Promise<JsonResponse> {
  const headers: Record<string, string> = {};
  if (options.body !== undefined) headers["content-type"] = "application/json";
  if (options.ifNoneMatch !== undefined) {
    headers["if-none-match"] = options.ifNoneMatch;
  }
  const { origin, pathname, search } = new URL(url);
  const client = options.dedicatedConnection
    ? new Client(origin, CONNECTION_OPTIONS)
    : undefined;
  const response = await sendHttpCall(client ?? agent, {
    origin,
    path: pathname + search,
    method: options.method ?? "GET",
    headers,
    body: options.body === undefined ? undefined : JSON.stringify(options.body),
    timeoutMs: options.timeoutMs,
    signal: options.signal,
  }).finally(() => void client?.destroy());
  const { status, text } = response;
  const { etag } = response.headers;
  return {
    status,
    body: text === "" ? undefined : JSON.parse(text),
    etag: typeof etag === "string" ? etag : undefined,
  };
}
