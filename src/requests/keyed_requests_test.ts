import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { OUTCOME_HEADER } from "../constants.ts";
import { KEY_LIFETIME_MS } from "./idempotency_keys.ts";
import { KeyOutcomes, resolveKeyLimits } from "./key_outcomes.ts";
import { type Outcome, outcomeUnknown } from "./outcome.ts";
import {
  call,
  createEntryDigest,
  createFakeClock,
  type RawRequest,
  rawResponse,
  startRawBackend,
  startTestEntry,
  type TestEntry,
} from "../../testing/request_entry.ts";
import {
  createTestFleet,
  type TestFleet,
} from "../../testing/request_fleet.ts";

interface Context {
  readonly fleet: TestFleet;
  readonly entries: readonly TestEntry[];
  readonly received: readonly RawRequest[];
  readonly clock: ReturnType<typeof createFakeClock>;
  isolated: boolean;
}

async function withEntries(
  check: (context: Context) => Promise<void>,
): Promise<void> {
  const clock = createFakeClock();
  const backend = await startRawBackend((socket, { path, requestId }) => {
    const response = rawResponse(`${path} ${requestId}`);
    if (path.endsWith("lost")) socket.destroy();
    else setTimeout(() => socket.write(response), 30);
  });
  const fleet = createTestFleet([backend.address]);
  const context = {
    fleet,
    entries: [] as TestEntry[],
    received: backend.requests,
    clock,
    isolated: false,
  };
  for (const id of ["entry-1", "entry-2", "entry-3"]) {
    context.entries.push(
      await startTestEntry({
        id,
        clock,
        fleet,
        isolated: () => context.isolated,
      }),
    );
  }
  const digests = context.entries.map((entry) => createEntryDigest(entry));
  for (const entry of context.entries) entry.entries.set(digests);
  try {
    await check(context);
  } finally {
    for (const entry of context.entries) await entry.close();
    backend.close();
  }
}

async function issueKey(entry: TestEntry): Promise<string> {
  const response = await call(entry, "/.cowslipferry/keys", { method: "POST" });
  assert.is(response.status, 201);
  return JSON.parse(response.text).key;
}

function sendKeyed(
  entry: TestEntry,
  key: string,
  change: { path?: string; body?: string; deadlineMs?: number } = {},
) {
  return call(entry, change.path ?? "/quoting/book", {
    method: "POST",
    body: change.body ?? "order",
    headers: {
      "idempotency-key": key,
      "cowslipferry-deadline-ms": String(change.deadlineMs ?? 2_000),
    },
  });
}

test("a key runs once, however often and to whichever entry it is sent", () =>
  withEntries(async ({ entries, received }) => {
    for (let round = 0; round < 20; round++) {
      const key = await issueKey(entries[round % 3]!);
      const path = `/quoting/${round}`;
      const together = await Promise.all(
        [...entries, ...entries].map((entry) =>
          sendKeyed(entry, key, { path })
        ),
      );
      const later = await Promise.all(
        entries.map((entry) => sendKeyed(entry, key, { path })),
      );
      const texts = new Set([...together, ...later].map(({ text }) => text));
      assert.is(texts.size, 1);
      assert.ok(together.every(({ outcome }) => outcome === "answer"));
      const runs = received.filter((request) => request.path === path);
      assert.is(runs.length, 1, `${path} ran ${runs.length} times`);
    }
  }));

test("an unknown outcome is stored and the request isn't retried", () =>
  withEntries(async ({ entries, received }) => {
    const key = await issueKey(entries[0]!);
    for (const entry of entries) {
      const response = await sendKeyed(entry, key, { path: "/quoting/lost" });
      assert.is(response.outcome, "outcome_unknown");
    }
    assert.is(received.length, 1);
  }));

test("a keyed request continues after the deadline of a repeated request, and its outcome is stored", () =>
  withEntries(async ({ entries, received }) => {
    const key = await issueKey(entries[0]!);
    const first = sendKeyed(entries[0]!, key);
    await new Promise((resolve) => setTimeout(resolve, 10));
    const timedOut = await sendKeyed(entries[1]!, key, { deadlineMs: 5 });
    assert.is(timedOut.outcome, "outcome_unknown");
    assert.is(timedOut.status, 504);
    assert.is((await first).outcome, "answer");
    assert.is(received.length, 1);
  }));

test("a key can be used again after a refusal", () =>
  withEntries(async (context) => {
    const { entries, received } = context;
    const key = await issueKey(entries[0]!);
    context.isolated = true;
    for (const entry of entries) {
      const refused = await sendKeyed(entry, key);
      assert.is(refused.outcome, "not_run");
      assert.is(refused.error, "isolated");
    }
    context.isolated = false;
    const record = context.fleet.fleet.get()!;
    context.fleet.fleet.set({ ...record, vms: {} });
    for (const entry of entries) {
      const refused = await sendKeyed(entry, key);
      assert.is(refused.outcome, "not_run");
      assert.is(refused.error, "no_instance");
    }
    context.fleet.fleet.set(record);
    assert.is((await sendKeyed(entries[1]!, key)).outcome, "answer");
    context.isolated = true;
    assert.is(
      (await sendKeyed(entries[2]!, key)).outcome,
      "answer",
      "it is stored",
    );
    assert.is(received.length, 1);
  }));

test("a request whose key issuer is gone or replaced has an unknown outcome and isn't run", () =>
  withEntries(async ({ entries, received }) => {
    const key = await issueKey(entries[0]!);
    const unreachable = await issueKey(entries[1]!);
    const [first, second, third] = entries as [TestEntry, TestEntry, TestEntry];
    third.entries.set([
      createEntryDigest(first, { incarnation: "next-run" }),
      createEntryDigest(second),
      createEntryDigest(third),
    ]);
    await second.close();
    for (const used of [key, unreachable]) {
      const response = await sendKeyed(third, used);
      assert.is(response.outcome, "outcome_unknown");
      assert.is(response.error, "key_issuer_unreachable");
    }
    assert.is(received.length, 0);
  }));

test("an entry that can't reach the issuer doesn't report a keyed request as not run", () =>
  withEntries(async ({ entries, fleet }) => {
    const key = await issueKey(entries[0]!);
    fleet.config.set(undefined);
    const response = await sendKeyed(entries[1]!, key);
    assert.is(response.outcome, "outcome_unknown");
    assert.is(response.error, "key_not_checked");
    assert.is((await call(entries[1]!, "/quoting/1")).outcome, "not_run");
  }));

test("forged keys, expired keys and keys of other requests are refused", () =>
  withEntries(async ({ entries, received, clock }) => {
    const [first, second] = entries as [TestEntry, TestEntry];
    const used = await issueKey(first);
    const unused = await issueKey(first);
    const forged = unused.replace(/\.[^.]*$/, `.${"A".repeat(43)}`);
    assert.is((await sendKeyed(second, forged)).error, "forged_key");
    assert.is((await sendKeyed(second, used)).outcome, "answer");
    assert.is(
      (await sendKeyed(second, used, { body: "x" })).error,
      "key_reused",
    );
    clock.advance(KEY_LIFETIME_MS + 1_000);
    await new Promise((resolve) => setTimeout(resolve, 400));
    const expired = await sendKeyed(second, unused);
    assert.is(expired.status, 410);
    assert.is(expired.outcome, "not_run");
    const ran = await sendKeyed(second, used);
    assert.is(ran.outcome, "outcome_unknown", "a request with it has run");
    assert.is(received.length, 1);
  }));

test("a drain waits for a keyed request whose caller has disconnected", () =>
  withEntries(async ({ entries, received }) => {
    const key = await issueKey(entries[0]!);
    const [host, port] = entries[0]!.address.split(":");
    const { connect } = await import("node:net");
    const socket = connect(Number(port), host);
    socket.write(
      `POST /quoting/1 HTTP/1.1\r\nhost: x\r\nidempotency-key: ${key}\r\ncontent-length: 0\r\n\r\n`,
    );
    await new Promise((resolve) => setTimeout(resolve, 15));
    socket.destroy();
    await entries[0]!.proxy.drain();
    assert.is(received.length, 1);
    assert.is(entries[0]!.proxy.inFlight(), 0);
  }));

test("the size of stored bodies is limited; a key stays used after its body is dropped", async () => {
  const discardedOutcome = outcomeUnknown("outcome_not_kept", "dropped");
  const outcomes = new KeyOutcomes(
    { maximumKeys: 3, maximumBodyBytes: 100 },
    discardedOutcome,
  );
  const answer = (bodyBytes: number): Outcome => ({
    kind: "answer",
    response: {
      status: 200,
      headers: [OUTCOME_HEADER, "answer"],
      body: Buffer.alloc(bodyBytes),
    },
  });
  for (const sequence of [1, 2, 3]) {
    const key = { sequence, expiresAtMs: 1_000, fingerprint: "" };
    await outcomes.start(key, Promise.resolve(answer(60))).outcome;
  }
  await Promise.resolve();
  assert.is(await outcomes.get(1)!.outcome, discardedOutcome);
  assert.is((await outcomes.get(3)!.outcome).kind, "answer");
  assert.is(outcomes.isFull, true);
  outcomes.removeExpired(1_000);
  assert.is(outcomes.isFull, false);
  assert.equal(outcomes.describe(), { keys: 0, bodyBytes: 0 });
  assert.is(outcomes.wasUsed(1), true);
  assert.is(outcomes.wasUsed(4), false);
});

// Guards against a key table that exceeds the memory of the VM by itself.
test("a full key table occupies at most a quarter of the memory", async () => {
  setFlagsFromString("--expose_gc");
  const collectGarbage: () => void = runInNewContext("gc");
  const readUsedBytes = () => {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  };
  const memoryMb = 100;
  const outcomes = new KeyOutcomes(
    resolveKeyLimits(memoryMb),
    outcomeUnknown("outcome_not_kept", "dropped"),
  );
  const usedBeforeBytes = readUsedBytes();
  for (let sequence = 0; !outcomes.isFull; sequence++) {
    const key = {
      sequence,
      expiresAtMs: 1_000,
      fingerprint: Buffer.alloc(32, sequence).toString("base64"),
    };
    const outcome: Outcome = {
      kind: "answer",
      response: {
        status: 200,
        headers: ["content-type", "text/plain", "x-number", String(sequence)],
        body: Buffer.alloc(2_000),
      },
    };
    await outcomes.start(key, Promise.resolve(outcome)).outcome;
  }
  const usedBytes = readUsedBytes() - usedBeforeBytes;
  assert.ok(outcomes.isFull);
  assert.ok(usedBytes <= memoryMb * 1_048_576 / 4, `${usedBytes} bytes`);
});

test.run();
