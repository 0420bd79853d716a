import { createServer } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import { buildConnector, Pool } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listenOnLoopback } from "../testing/http_json_server.ts";
import { waitFor } from "../testing/wait.ts";
import { isNotSent, sendHttpCall } from "./http_call.ts";

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

/** Fails the connection of a call that the server has received, as the operating system does when it loses the route or the host; returns the call's error. */
async function failOpenConnection(code: string): Promise<unknown> {
  let received = false;
  const server = createServer(() => received = true);
  const { address, close } = await listenOnLoopback(server);
  const sockets: Socket[] = [];
  const connect = buildConnector({});
  const pool = new Pool(`http://${address}`, {
    connect: (options, callback) =>
      connect(options, (...result) => {
        if (result[0] === null) sockets.push(result[1]);
        callback(...result);
      }),
  });
  try {
    const error = getRejection(
      sendHttpCall(pool, { path: "/", method: "POST", timeoutMs: 60_000 }),
    );
    await waitFor("the server has received the call", () => received);
    sockets[0]!.destroy(
      Object.assign(new Error(`read ${code}`), { code, syscall: "read" }),
    );
    return await error;
  } finally {
    await pool.destroy();
    await close();
  }
}

// Guards against repeating an order elsewhere, or reporting it as not executed, although the server has received it.
test("only an error of the connection attempt proves that a call was not sent", async () => {
  for (const code of ["EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED"]) {
    const error = await failOpenConnection(code);
    assert.is((error as { code: string }).code, code);
    assert.is(isNotSent(error), false, code);
  }
  const pools = [
    new Pool("http://127.0.0.1:1"),
    // Each address of a host with several is tried.
    new Pool("http://host.example:1", {
      connect: {
        autoSelectFamily: true,
        lookup: (_host, _options, callback) =>
          callback(null, [
            { address: "127.0.0.1", family: 4 },
            { address: "127.0.0.2", family: 4 },
          ]),
      },
    }),
  ];
  for (const pool of pools) {
    const error = await getRejection(
      sendHttpCall(pool, { path: "/", method: "POST", timeoutMs: 60_000 }),
    );
    assert.is(isNotSent(error), true, error.message);
    await pool.destroy();
  }
});

test.run();
