import { createServer } from "node:http";
import { createTRPCClient, httpLink } from "@trpc/client";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listenOnLoopback } from "../../testing/http_json_server.ts";
import { createByteMeter } from "./byte_meter.ts";
import { createPeerClient } from "./client.ts";
import type { PeerRouter } from "./router.ts";
import type { ExchangeReply, ExchangeRequest } from "./wire.ts";

// Guards against gossip calls that differ from those of the tRPC client, and
// against error responses and malformed replies that are accepted as replies.
test("a gossip call sends the same request as the tRPC client", async () => {
  const record: ExchangeRequest["record"] = ["abcd", 1, 0, 0, 0, [], {}, []];
  const reply: ExchangeReply = { records: [record] };
  const replies = [
    [200, { result: { data: reply } }],
    [200, { result: { data: reply } }],
    [500, { error: { message: "failed", code: -32603, data: {} } }],
    [200, { result: { data: { records: 1 } } }],
  ] as const;
  const received: unknown[] = [];
  const server = createServer(async (request, response) => {
    const body = (await request.toArray()).join("");
    const type = request.headers["content-type"];
    const { method, url } = request;
    const [status, responseBody] = replies[received.length]!;
    received.push({ method, url, type, body });
    response.writeHead(status, { "content-type": "application/json" })
      .end(JSON.stringify(responseBody));
  });
  const { address, close } = await listenOnLoopback(server);
  const client = createPeerClient(address, createByteMeter());
  const links = [httpLink({ url: `http://${address}` })];
  const trpc = createTRPCClient<PeerRouter>({ links });
  const request: ExchangeRequest = { have: "abcd00", record };
  try {
    assert.equal(await client.exchange(request), reply);
    assert.equal(await trpc.exchange.mutate(request), reply);
    assert.equal(received[0], received[1]);
    for (let count = 0; count < 2; count++) {
      const error = await client.exchange(request).then(
        () => assert.unreachable(),
        (error) => error,
      );
      assert.equal([error.kind, error.failure], ["peer", "unreachable"]);
    }
  } finally {
    client.close();
    await close();
  }
});

test.run();
