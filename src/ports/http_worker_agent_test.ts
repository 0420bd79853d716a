import { createServer } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listenOnLoopback } from "../../testing/http_json_server.ts";
import { waitFor } from "../../testing/wait.ts";
import { createHttpWorkerAgent } from "./http_worker_agent.ts";

// Guards against leaked connections: each dedicated connection must be closed
// after its call, also when the call times out.
test("a dedicated connection is closed after its call", async () => {
  const report = { vmId: "vm", incarnation: "1", tasks: [] };
  let open = 0;
  const server = createServer((request, response) => {
    if (request.url === "/v1/report") response.end(JSON.stringify(report));
  });
  server.on("connection", (socket) => {
    open++;
    socket.on("close", () => open--);
  });
  server.keepAliveTimeout = 60_000;
  const { address, close } = await listenOnLoopback(server);
  const agent = createHttpWorkerAgent({ dedicatedConnections: true });
  try {
    assert.equal((await agent.report(address)).tasks, []);
    await waitFor("the connection is closed", () => open === 0);
    const drained = agent.drain(address, "intent").catch((error) => error.kind);
    await waitFor("the call arrives", () => open === 1);
    assert.is(await drained, "platform");
    await waitFor("the connection is closed", () => open === 0);
  } finally {
    await close();
  }
});

test.run();
