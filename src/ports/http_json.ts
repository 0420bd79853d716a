import { Agent, Client } from "undici";
import { sendHttpCall } from "../http_call.ts";

/** JSON response of a platform service. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
  /** Entity tag of this version of the resource; undefined if the server sends none. */
  readonly etag: string | undefined;
}

/** Options of `requestJson`. */
export interface JsonRequestOptions {
  readonly method?: "GET" | "PUT" | "POST" | "DELETE";
  readonly body?: unknown;
  /** Entity tag of a cached response; the server omits the body if the resource still has it. */
  readonly ifNoneMatch?: string | undefined;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
  /**
   * Opens a connection for this call and closes it afterwards. This is cheaper
   * if an idle connection would time out long before the next call.
   */
  readonly dedicatedConnection?: boolean;
}

const CONNECTION_OPTIONS = { connect: { timeout: 1_000 }, pipelining: 1 };
const agent = new Agent(CONNECTION_OPTIONS);

/** Sends one JSON request; rejects with undici's error, a `TimeoutError`, or a `SyntaxError` if the body isn't JSON. */
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
