import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** A request to a fake HTTP server. */
export interface JsonCall {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingHttpHeaders;
  /** Parsed JSON body; undefined without a body. */
  readonly body: unknown;
  /** Aborted when the client closes the connection. */
  readonly signal: AbortSignal;
}

/** Response of a fake HTTP server. */
export interface JsonReply {
  readonly status: number;
  /** Sent as JSON; the response body is empty if undefined. */
  readonly body?: unknown;
}

/** A server that listens on the loopback interface. */
export interface RunningServer {
  /** `host:port`. */
  readonly address: string;
  readonly server: Server;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return chunks.length === 0
    ? undefined
    : JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

/** Starts a server on the loopback interface; port 0 lets the operating system choose a free port. */
export async function listenOnLoopback(
  server: Server,
  port = 0,
): Promise<RunningServer> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve());
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    server,
    close: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/**
 * Creates a JSON server that supports `If-None-Match`.
 * If the handler returns undefined, the connection closes without a response.
 */
export function createJsonServer(
  handle: (
    call: JsonCall,
  ) => Promise<JsonReply | undefined> | JsonReply | undefined,
): Server {
  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const aborted = new AbortController();
    response.on("close", () => aborted.abort());
    const reply = await handle({
      method: request.method ?? "GET",
      url: new URL(request.url ?? "/", "http://localhost"),
      headers: request.headers,
      body: await readBody(request),
      signal: aborted.signal,
    });
    if (reply === undefined) {
      response.destroy();
      return;
    }
    const text = reply.body === undefined ? "" : JSON.stringify(reply.body);
    const etag = `"${createHash("sha256").update(text).digest("base64url")}"`;
    if (reply.status === 200 && request.headers["if-none-match"] === etag) {
      response.writeHead(304, { etag });
      response.end();
      return;
    }
    response.writeHead(reply.status, {
      "content-type": "application/json",
      etag,
    });
    response.end(text);
  }
  return createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
}
