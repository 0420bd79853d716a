import { Worker } from "node:worker_threads";

const SERVER_SOURCE = `
  const { createServer } = require("node:http");
  const { parentPort, workerData } = require("node:worker_threads");
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === "/silent") return;
    setTimeout(() => response.end("{}"), workerData.responseDelayMs);
  });
  server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/** Starts an HTTP server in a thread, so that it responds while the test's own thread is stalled. `/silent` gets no response. */
export function startServerThread(
  responseDelayMs: number,
): Promise<{ address: string; close: () => Promise<unknown> }> {
  const worker = new Worker(SERVER_SOURCE, {
    eval: true,
    workerData: { responseDelayMs },
  });
  return new Promise((resolve, reject) => {
    worker.once("error", reject);
    worker.once("message", (port: number) =>
      resolve({
        address: `127.0.0.1:${port}`,
        close: () => worker.terminate(),
      }));
  });
}

/** Blocks the event loop for `durationMs`, like a long computation. */
export function stallEventLoop(durationMs: number): void {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(cell, 0, 0, durationMs);
}
