import { createServer } from "node:http";
import process from "node:process";
import { Pool } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listenOnLoopback } from "../testing/http_json_server.ts";
import { waitFor } from "../testing/wait.ts";
import { sendHttpCall } from "./http_call.ts";

const getRejection = (call: Promise<unknown>) =>
  call.then(() => assert.unreachable(), (error) => error);
const countTimers = () =>
  process.getActiveResourcesInfo().filter((name) => name === "Timeout").length;

// Guards against calls that never settle, that are sent after they have timed out or been aborted, or whose body is
// truncated, and against timers that outlive their call.
test("a call settles with its response, on timeout or on abort of the outer signal", async () => {
  const received: string[] = [];
  const server = createServer((request, response) => {
    received.push(request.url ?? "");
    if (request.url === "/slow") return;
    if (request.url === "/cut") {
      response.setHeader("content-length", 100);
      response.write("short", () => response.destroy());
      return;
    }
    response.setHeader("etag", "v1");
    request.on("data", (chunk) => response.write(chunk));
    request.on("end", () => response.end("é"));
  });
  const { address, close } = await listenOnLoopback(server);
  const pool = new Pool(`http://${address}`, { connections: 1, pipelining: 1 });
  const call = (path: string, timeoutMs = 60_000, signal?: AbortSignal) =>
    sendHttpCall(pool, {
      path,
      method: "POST",
      body: "sent ",
      timeoutMs,
      signal,
    });
  try {
    const { status, headers, text } = await call("/");
    assert.equal([status, headers.etag, text], [200, "v1", "sent é"]);
    assert.is((await getRejection(call("/cut"))).code, "UND_ERR_SOCKET");

    const timersBefore = countTimers();
    const timedOut = getRejection(call("/slow", 200));
    await waitFor(
      "the server has received the slow call",
      () => received.includes("/slow"),
    );
    // The only connection is in use, so these two calls are queued.
    const outer = new AbortController();
    const aborted = getRejection(call("/aborted", 60_000, outer.signal));
    const expired = getRejection(call("/expired", 10));
    outer.abort("stopped");
    assert.is(await aborted, "stopped");
    assert.is((await expired).name, "TimeoutError");
    assert.is((await timedOut).name, "TimeoutError");
    assert.is(await getRejection(call("/never", 1, outer.signal)), "stopped");
    assert.is((await call("/last")).status, 200);
    assert.equal(received, ["/", "/cut", "/slow", "/last"]);
    assert.ok(countTimers() <= timersBefore);
  } finally {
    await pool.destroy();
    await close();
  }
});

test.run();
