import { test } from "uvu";
import * as assert from "uvu/assert";
import { listenOnLoopback } from "../../testing/http_json_server.ts";
import { createByteMeter } from "./byte_meter.ts";
import { createPeerServer, type PeerHandlers } from "./router.ts";
import type { ExchangeRequest } from "./wire.ts";

interface Reply {
  readonly result?: unknown;
  readonly error?: { code: number; data: { code: string; httpStatus: number } };
}

const valid: ExchangeRequest = {
  have: "abcd00",
  record: ["abcd", 1, 0, 0, 0, [], {}, []],
};
const BODIES = {
  valid: JSON.stringify(valid),
  failing: JSON.stringify({ ...valid, have: "fail" }),
  invalid: JSON.stringify({ have: 1 }),
  malformed: "{",
  empty: "",
  large: JSON.stringify({ ...valid, have: "x".repeat(300_000) }),
};

// Guards against replies to gossip calls that differ from what tRPC clients expect.
test("gossip calls get the same responses as from tRPC's adapter", async () => {
  const handlers: PeerHandlers = {
    exchange({ have, record }) {
      if (have === "fail") throw new Error("failed");
      return { records: [record] };
    },
    exchangeConfigRevision: () => 0,
    configBody: () => undefined,
    fleetBody: () => undefined,
  };
  const server = createPeerServer(handlers, createByteMeter());
  const { address, close } = await listenOnLoopback(server);
  async function call(body: string, contentType: string) {
    const response = await fetch(`http://${address}/exchange`, {
      method: "POST",
      headers: { "content-type": contentType },
      body,
    });
    const { result, error } = await response.json() as Reply;
    const { status } = response;
    return { status, result, code: error?.code, name: error?.data.code };
  }
  try {
    for (const [name, body] of Object.entries(BODIES)) {
      const endpointReply = await call(body, "application/json");
      // tRPC's adapter handles requests with any other content type.
      const adapterReply = await call(body, "application/json; charset=utf-8");
      assert.equal(endpointReply, adapterReply, name);
      assert.is(endpointReply.status === 200, name === "valid", name);
    }
  } finally {
    await close();
  }
});

test.run();
