import { createServer } from "node:net";

/** Returns a TCP port that is currently free; another process may take it before it is used. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" && address !== null
        ? address.port
        : 0;
      server.close(() => resolve(port));
    });
  });
}
