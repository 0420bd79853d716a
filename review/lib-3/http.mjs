import { createServer } from "node:http";

/** Reply of a handler that never answers; nothing more is answered on the connection. */
export const NO_ANSWER = Symbol("no answer");

/**
 * Starts an HTTP server whose handler gets `{ method, path, query, headers, body }`
 * and returns `{ status, body }` or `NO_ANSWER`.
 */
export function startJsonServer(host, handler) {
  const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("error", () => {});
    res.on("error", () => {});
    req.on("end", async () => {
      if (req.socket.isSilent) return;
      const url = new URL(req.url, "http://stand-in");
      const text = Buffer.concat(chunks).toString();
      let body;
      try {
        body = text === "" ? {} : JSON.parse(text);
      } catch {
        res.writeHead(400).end();
        return;
      }
      const reply = await handler({
        method: req.method,
        path: url.pathname,
        query: url.searchParams,
        headers: req.headers,
        body,
      });
      if (reply === NO_ANSWER) {
        req.socket.isSilent = true;
        return;
      }
      if (req.socket.isSilent || res.destroyed) return;
      res.writeHead(reply.status, { "content-type": "application/json" });
      res.end(JSON.stringify(reply.body ?? {}));
    });
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, () =>
      resolve({
        address: `${host}:${server.address().port}`,
        close() {
          server.close();
          server.closeAllConnections();
        },
      }));
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
