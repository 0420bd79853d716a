import assert from "node:assert/strict";
import { createServer } from "node:http";
import fc from "fast-check";
import { suite } from "uvu";
import { listenOnLoopback } from "../../testing/http_json_server.ts";
import { createEntryClient, EntryCallError } from "./entry_client.ts";
import { type JobSpec, jobSpecSchema } from "./model.ts";
import { createPeerHandler, type PeerHandlers } from "./peer_router.ts";

const test = suite("peer router");

const SPEC: JobSpec = jobSpecSchema.parse({
  jobId: "0123456789abcdef",
  queue: "quotes",
  service: "quoting",
  maximumAttempts: 3,
  specification: "größe",
  steps: [{ taskCount: 2 }],
  acceptedAtMs: 5,
});

async function withPeer(
  overrides: Partial<PeerHandlers>,
  body: (address: string) => Promise<void>,
): Promise<void> {
  const notOwner = () => ({ kind: "not_owner" }) as const;
  const server = createServer(createPeerHandler({
    admit: notOwner,
    configAfter: () => null,
    accepted: notOwner,
    submit: () => Promise.resolve(notOwner()),
    cancelled: notOwner,
    cancel: () => Promise.resolve(notOwner()),
    withdraw: () => Promise.resolve(notOwner()),
    status: notOwner,
    waitingJobs: notOwner,
    owner: () => null,
    replaceOwner: () => false,
    reaches: () => Promise.resolve(true),
    offerRelay: notOwner,
    recordCaller() {},
    ...overrides,
  }));
  const { address, close } = await listenOnLoopback(server);
  try {
    await body(address);
  } finally {
    await close();
  }
}

// Guards against calls between entries that the client and the handler encode differently.
test("queries and mutations reach their handlers with their input", async () => {
  const received: unknown[] = [];
  await withPeer({
    submit(spec) {
      received.push(spec);
      return Promise.resolve({ kind: "reply", value: "stored" });
    },
    status(jobId, workspace) {
      received.push(jobId, workspace);
      return { kind: "reply", value: "running" };
    },
  }, async (address) => {
    const client = createEntryClient(address);
    try {
      assert.equal(await client.submit(SPEC), "stored");
      assert.equal(await client.status("a/b ?ü", "ü"), "running");
      assert.equal(await client.owner(), undefined);
      assert.equal(await client.reaches("127.0.0.1:1"), true);
      assert.deepEqual(received, [SPEC, "a/b ?ü", "ü"]);
      await assert.rejects(
        client.accepted(SPEC, 7),
        (error) =>
          error instanceof EntryCallError && error.reason === "not_owner",
      );
    } finally {
      client.close();
    }
  });
});

// Guards against a malformed call that ends the process or reaches a handler.
test("malformed calls are refused and the port keeps serving", async () => {
  let handled = 0;
  await withPeer({
    accepted() {
      handled++;
      return { kind: "reply", value: true };
    },
    status() {
      handled++;
      return { kind: "reply", value: null };
    },
  }, async (address) => {
    const send = async (path: string, body?: string) =>
      (await fetch(`http://${address}/${path}`, {
        method: body === undefined ? "GET" : "POST",
        ...(body === undefined ? {} : { body }),
      })).status;
    assert.equal(await send("accepted"), 404);
    assert.equal(await send("status", '{"jobId":"a"}'), 404);
    assert.equal(await send("constructor"), 404);
    assert.equal(await send("status?input=%7B"), 400);
    await fc.assert(
      fc.asyncProperty(fc.oneof(fc.string(), fc.json()), async (body) => {
        assert.equal(await send("accepted", body), 400);
        const query = encodeURIComponent(body);
        assert.equal(await send(`status?input=${query}`), 400);
      }),
      { numRuns: 60 },
    );
    assert.equal(handled, 0);
    assert.equal(await send("status?input=%7B%22jobId%22%3A%22a%22%7D"), 200);
    assert.equal(handled, 1);
  });
});

test.run();
