import { setImmediate as nextLoopIteration } from "node:timers/promises";
import { Pool } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { stallEventLoop, startServerThread } from "../testing/stalled_calls.ts";
import { callWithTimeout } from "./call_timeout.ts";
import { sendHttpCall } from "./http_call.ts";

const CALLS = 20;
const TIMEOUT_MS = 250;
const STALL_MS = 400;

type Send = (pool: Pool, path: string) => Promise<unknown>;

/** Sends calls, stalls this process once the requests are out, and returns how many calls got a response. */
async function countResponses(send: Send, path: string): Promise<number> {
  const server = await startServerThread(20);
  const pool = new Pool(`http://${server.address}`, {
    connections: CALLS,
    pipelining: 1,
  });
  try {
    await Promise.all(Array.from({ length: CALLS }, () => send(pool, "/")));
    const calls = Promise.allSettled(
      Array.from({ length: CALLS }, () => send(pool, path)),
    );
    await nextLoopIteration();
    stallEventLoop(STALL_MS);
    return (await calls).filter(({ status }) => status === "fulfilled").length;
  } finally {
    await pool.destroy();
    await server.close();
  }
}

const SENDERS: Readonly<Record<string, Send>> = {
  sendHttpCall: (pool, path) =>
    sendHttpCall(pool, { path, method: "GET", timeoutMs: TIMEOUT_MS }),
  callWithTimeout: (pool, path) =>
    callWithTimeout(async (signal) => {
      const response = await pool.request({ path, method: "GET", signal });
      return await response.body.text();
    }, { timeoutMs: TIMEOUT_MS }),
};

for (const [name, send] of Object.entries(SENDERS)) {
  // Guards against taking workers, the store, the owner and peers for silent when this process was too busy to read.
  test(`${name}: responses that arrive while the process is stalled count as received`, async () => {
    assert.is(await countResponses(send, "/"), CALLS);
  });

  // Guards against a stall that hides a server that really doesn't respond.
  test(`${name}: a call without a response times out despite a stall`, async () => {
    assert.is(await countResponses(send, "/silent"), 0);
  });
}

test.run();
