import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConnectionBudget } from "./connection_budget.ts";
import { resolveConnectionLimits } from "./connection_limits.ts";
import { guardConnections } from "./guarded_server.ts";

/** Largest number of one-byte chunks in two pieces of input that are parsed in one event loop iteration. */
const MAXIMUM_CHUNKS_AT_ONCE = 2 * 16_384 / "1\r\nx\r\n".length;

// Guards against an owner that can't renew its lease while callers send bodies in small chunks.
test("a body in small chunks is parsed in short slices, however much of it has arrived", async () => {
  let nowMs = 0;
  let chunks = 0;
  let chunksAtOnce = 0;
  let mostChunksAtOnce = 0;
  const server = createServer((request, response) => {
    request.on("data", () => {
      chunks++;
      mostChunksAtOnce = Math.max(mostChunksAtOnce, ++chunksAtOnce);
    });
    request.on("end", () => response.end());
  });
  const parse = guardConnections(server, {
    budget: new ConnectionBudget(
      resolveConnectionLimits({ memoryMb: 350, fileDescriptors: 4_096 }),
    ),
    maximumAheadBytes: () => 20_000,
    bodyCostFactor: 2,
    // Each turn takes longer than a slice.
    clock: { wallMs: () => 0, monotonicMs: () => nowMs += 10 },
  });
  server.on("connection", (socket) => void parse(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const nextIteration = () => {
    chunksAtOnce = 0;
    timer = setImmediate(nextIteration);
  };
  let timer = setImmediate(nextIteration);
  const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
  try {
    client.write(
      "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
    );
    client.write(`${"1\r\nx\r\n".repeat(100_000)}0\r\n\r\n`);
    const [output] = await once(client, "data");
    assert.match(String(output), /^HTTP\/1.1 200 /);
    assert.is(chunks, 100_000);
    assert.ok(
      mostChunksAtOnce <= MAXIMUM_CHUNKS_AT_ONCE,
      `${mostChunksAtOnce} chunks`,
    );
  } finally {
    clearImmediate(timer);
    client.destroy();
    server.close();
    server.closeAllConnections();
  }
});

test.run();
