// JSON over HTTP/1.1 on a loopback address with a free port.
import { createServer, request } from "node:http";

/**
 * Serves calls; `handle` returns `{ status, body }`, or undefined to leave the
 * call without an answer.
 */
export async function serveJson(handle, port = 0) {
  const server = createServer(async (incoming, response) => {
    const abort = new AbortController();
    response.on("close", () => abort.abort());
    const chunks = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk);
    } catch {
      return; // The caller has gone.
    }
    const text = Buffer.concat(chunks).toString("utf8");
    let body;
    try {
      body = text === "" ? {} : JSON.parse(text);
    } catch {
      response.writeHead(400).end();
      return;
    }
    const reply = await handle({
      method: incoming.method,
      url: new URL(incoming.url, "http://127.0.0.1"),
      headers: incoming.headers,
      body,
      signal: abort.signal,
    });
    if (reply === undefined || response.destroyed) return;
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(JSON.stringify(reply.body ?? {}));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Sends one call on a connection of its own; resolves to `{ status, body }`, status 0 without an answer. */
export function call(address, { method, path, headers = {}, body, timeoutMs }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const outgoing = request({
      host,
      port,
      method,
      path,
      agent: false,
      timeout: timeoutMs,
      headers: {
        ...headers,
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => resolve({ status: 0 }));
      response.on("end", () => {
        let parsed;
        try {
          parsed = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        } catch {
          parsed = undefined;
        }
        resolve({ status: response.statusCode, body: parsed });
      });
    });
    outgoing.on("timeout", () => outgoing.destroy(new Error("timeout")));
    outgoing.on("error", () => resolve({ status: 0 }));
    outgoing.end(text);
  });
}
