import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRunningClock } from "../../testing/running_clock.ts";
import { waitFor } from "../../testing/wait.ts";
import { BackendConnections } from "./backend_connections.ts";
import {
  closeConnection,
  respondAfter,
  respondWithPath,
  withEntry,
} from "../../testing/entry_with_backends.ts";
import {
  call,
  createEntryDigest,
  createFakeClock,
  rawResponse,
  startRawBackend,
} from "../../testing/request_entry.ts";

const POST_REQUEST = { method: "POST", body: "order" };

test("a request is not_run only if nothing was sent", () =>
  withEntry({ backends: [], closedPorts: 1 }, async ({ entry }) => {
    const refused = await call(entry, "/quoting/1", POST_REQUEST);
    assert.is(refused.outcome, "not_run");
    assert.is(refused.error, "backend_unreachable");
    assert.ok(Number(refused.headers["retry-after"]) >= 1);
    assert.ok(JSON.parse(refused.text).error.retryAfterMs > 0);
  }));

test("a non-idempotent request is never sent twice", () =>
  withEntry(
    { backends: [closeConnection, closeConnection] },
    async ({ entry, backends }) => {
      const lost = await call(entry, "/quoting/1", POST_REQUEST);
      assert.is(lost.outcome, "outcome_unknown");
      const sent = backends.flatMap((backend) => backend.requests);
      assert.is(sent.length, 1);
    },
  ));

test("an idempotent request is retried on another instance, also after a refused connection", () =>
  withEntry(
    { backends: [closeConnection, respondWithPath], closedPorts: 1 },
    async ({ entry, backends }) => {
      for (let index = 0; index < 6; index++) {
        assert.is((await call(entry, `/quoting/${index}`)).outcome, "answer");
      }
      assert.ok(backends[0]!.requests.length >= 1);
    },
  ));

// Guards against a request that crashes one backend server after the other: its attempts are limited, and its outcome isn't known.
test("a request that crashes its backend servers is sent to three of them at most", () =>
  withEntry(
    { backends: Array.from({ length: 6 }, () => closeConnection) },
    async ({ entry, backends }) => {
      const lost = await call(entry, "/quoting/1");
      assert.is(lost.outcome, "outcome_unknown");
      const hit = backends.filter(({ requests }) => requests.length > 0);
      assert.is(hit.length, 3);
      assert.is(backends.flatMap(({ requests }) => requests).length, 3);
    },
  ));

test("retries stop when the retry budget is empty", () =>
  withEntry({
    fleetOptions: {
      service: { retryBudgetPercent: 1 },
      minimumServingVms: 2,
    },
    backends: [closeConnection, closeConnection],
  }, async ({ entry, backends }) => {
    for (let index = 0; index < 30; index++) {
      const response = await call(entry, `/quoting/${index}`);
      assert.is(response.outcome, "outcome_unknown");
    }
    const sent = backends.flatMap((backend) => backend.requests).length;
    assert.is(sent, 30 + 10);
  }));

test("a process that was paused doesn't send expired requests", async () => {
  const clock = createFakeClock();
  const backend = await startRawBackend(respondWithPath);
  const connections = new BackendConnections(backend.address, 1);
  const deadlineAtMs = clock.monotonicMs() + 5_000;
  const exchange = connections.send({
    requestId: "1",
    method: "POST",
    path: "/quoting/1",
    headers: [],
    body: Buffer.from("order"),
  }, () => deadlineAtMs - clock.monotonicMs());
  clock.advance(10_000);
  const result = await exchange.result;
  assert.is(result.kind === "failed" && result.sent, false);
  assert.is(result.kind === "failed" && result.reason, "timeout");
  assert.is(backend.requests.length, 0);
  connections.close();
  backend.close();
});

test("a queued request whose deadline passed during a pause isn't sent", async () => {
  const clock = createFakeClock();
  await withEntry({
    clock,
    fleetOptions: { service: { slotsPerInstance: 1 } },
    backends: [respondAfter(100)],
  }, async ({ entry, backends }) => {
    const first = call(entry, "/quoting/first");
    await waitFor(
      "the first request is sent",
      () => backends[0]!.requests.length > 0,
    );
    const second = call(entry, "/quoting/second", POST_REQUEST);
    await waitFor(
      "the second request is queued",
      () => entry.proxy.load().services.quoting!.waiting === 1,
    );
    clock.advance(20_000);
    assert.is((await second).outcome, "not_run");
    await first;
    assert.is(backends[0]!.requests.length, 1);
  });
});

test("requests beyond the capacity are refused at once, admitted ones meet their deadline", () =>
  withEntry({
    // All requests arrive at once, so each refusal takes as long as the work for those before it, which
    // a machine that runs other processes draws out.
    clock: createRunningClock(),
    fleetOptions: { service: { slotsPerInstance: 2 } },
    backends: [respondAfter(100)],
  }, async ({ entry, backends }) => {
    let slowestMs = 100;
    for (let index = 0; index < 10; index++) {
      const sentAtMs = performance.now();
      await call(entry, "/quoting/0");
      slowestMs = Math.max(slowestMs, performance.now() - sentAtMs);
    }
    // Opens the connections in advance, so that the times below exclude the accept queue.
    await Promise.all(
      Array.from({ length: 100 }, () => call(entry, "/unknown/1")),
    );
    const responses = await Promise.all(
      Array.from(
        { length: 100 },
        (_, index) =>
          call(entry, `/quoting/${index}`, {
            headers: { "cowslipferry-deadline-ms": "1500" },
          }),
      ),
    );
    const refused = responses.filter(({ outcome }) => outcome === "not_run");
    assert.ok(refused.length > 40, `${refused.length} refused`);
    // Requests that two slots serve within the deadline; admission may estimate half as many.
    const capacityWithinDeadline = 2 * 1_500 / slowestMs;
    assert.ok(
      refused.length < 100 - capacityWithinDeadline / 2,
      `${refused.length} refused`,
    );
    for (const response of refused) {
      assert.is(response.error, "deadline_unreachable");
      assert.ok(JSON.parse(response.text).error.retryAfterMs >= 20);
    }
    const durations = entry.proxy.metrics().find(({ labels }) =>
      labels.service === "quoting" && labels.outcome === "not_run"
    );
    assert.is(durations?.count, refused.length);
    const p90Ms = durations!.quantiles["0.9"]!;
    assert.ok(p90Ms < 150, `refused after ${p90Ms} ms`);
    const unknown = responses.filter(({ outcome }) =>
      outcome === "outcome_unknown"
    );
    assert.is(unknown.length, 0);
    assert.is(backends[0]!.connections, 2);
    const { recentRefusals } = entry.proxy.dump() as {
      recentRefusals: { details?: { ahead?: number } }[];
    };
    // Only decisions on arrival include the requests ahead.
    const onArrival = recentRefusals.filter(({ details }) =>
      details?.ahead !== undefined
    );
    assert.ok(onArrival.length > recentRefusals.length * 0.8);
  }));

test("the queue length is limited", () =>
  withEntry({
    fleetOptions: { service: { slotsPerInstance: 1 } },
    limits: { maximumQueuedRequests: 1 },
    backends: [respondAfter(100)],
  }, async ({ entry }) => {
    const responses = await Promise.all(
      Array.from({ length: 3 }, () => call(entry, "/quoting/1")),
    );
    const errors = responses.map(({ error }) => error);
    assert.equal(errors.filter((error) => error !== undefined), ["queue_full"]);
  }));

test("a surge overflows to a lending pool at once and leaves the lender's minimum of serving VMs", async () => {
  const lenders = await Promise.all(
    [1, 2].map(() => startRawBackend(respondAfter(100))),
  );
  await withEntry({
    fleetOptions: {
      service: { slotsPerInstance: 2 },
      lender: lenders.map((backend) => backend.address),
      minimumServingVms: 1,
    },
    backends: [respondAfter(100)],
  }, async ({ entry }) => {
    const responses = await Promise.all(
      Array.from(
        { length: 20 },
        (_, index) => call(entry, `/quoting/${index}`),
      ),
    );
    assert.ok(responses.every(({ outcome }) => outcome === "answer"));
    const overflowRequests = lenders.flatMap((backend) =>
      backend.requests
    ).length;
    // 10 slots in two rounds: 2 own slots and 8 lendable ones.
    assert.ok(
      overflowRequests >= 8 && overflowRequests <= 16,
      `${overflowRequests} lent`,
    );
    assert.ok(lenders.every((backend) => backend.connections <= 8));
    const total = lenders.reduce(
      (sum, { connections }) => sum + connections,
      0,
    );
    assert.is(total, 8);
  });
  for (const backend of lenders) backend.close();
});

test("connections stay within the entry's share of the limit", () =>
  withEntry({
    fleetOptions: { service: { connectionsPerInstance: 4 } },
    backends: [respondAfter(30)],
  }, async ({ entry, backends }) => {
    const peers = ["entry-2", "entry-3"].map((entryId) =>
      createEntryDigest(entry, { entryId, services: {} })
    );
    entry.entries.set([createEntryDigest(entry), ...peers]);
    await new Promise((resolve) => setTimeout(resolve, 50));
    await Promise.all(
      Array.from({ length: 20 }, () => call(entry, "/quoting/1")),
    );
    assert.is(backends[0]!.connections, 1);
  }));

test("a failing instance is ejected and probed again after the backoff", async () => {
  const clock = createFakeClock();
  let broken = true;
  await withEntry({
    clock,
    backends: [
      (socket, request) =>
        broken ? socket.destroy() : respondWithPath(socket, request),
      respondWithPath,
    ],
  }, async ({ entry, backends }) => {
    for (let index = 0; index < 20; index++) await call(entry, "/quoting/1");
    assert.is(backends[0]!.requests.length, 3);
    broken = false;
    clock.advance(600);
    for (let index = 0; index < 20; index++) await call(entry, "/quoting/1");
    assert.ok(backends[0]!.requests.length > 8);
  });
});

test("a frozen instance is ejected and one probe at a time is sent to it", async () => {
  const clock = createFakeClock();
  await withEntry({
    clock,
    backends: [() => {}, respondWithPath, respondWithPath],
  }, async ({ entry, backends }) => {
    // Long enough for the other instances' responses on a busy machine; instances only count as silent if most others respond.
    const headers = { "cowslipferry-deadline-ms": "800" };
    const send = () =>
      Promise.all(
        Array.from(
          { length: 12 },
          () => call(entry, "/quoting/1", { ...POST_REQUEST, headers }),
        ),
      );
    await send();
    const sent = backends[0]!.requests.length;
    assert.ok(sent >= 1);
    // The clock isn't advanced here, because the first probe would become due.
    await waitFor(
      "the instance is ejected",
      () =>
        JSON.stringify(entry.proxy.dump()).includes(
          '"ejectionReason":"silent"',
        ),
    );
    await send();
    assert.is(backends[0]!.requests.length, sent);
    clock.advance(10_000);
    await send();
    assert.is(backends[0]!.requests.length, sent + 1);
  });
});

const ANNOUNCEMENTS: Record<
  string,
  (context: Parameters<Parameters<typeof withEntry>[1]>[0]) => void
> = {
  "the fleet record": ({ fleet }) => {
    const record = structuredClone(fleet.fleet.get()!);
    record.vms["vm-1"]!.state = "draining";
    fleet.fleet.set(record);
  },
  "the VM list": ({ fleet }) => {
    const { vms } = structuredClone(fleet.vmList.get()!);
    vms[0]!.state = "leaving";
    fleet.vmList.set({ vms, readAtMs: 0 });
  },
  "a peer's digest": ({ entry }) =>
    entry.entries.set([
      createEntryDigest(entry),
      createEntryDigest(entry, { entryId: "entry-2", leavingVms: ["vm-1"] }),
    ]),
};

for (const [source, announce] of Object.entries(ANNOUNCEMENTS)) {
  test(`a VM that is leaving according to ${source} gets no new requests`, () =>
    withEntry(
      { backends: [respondWithPath, respondWithPath] },
      async (context) => {
        const { entry, backends } = context;
        announce(context);
        await new Promise((resolve) => setTimeout(resolve, 50));
        for (let index = 0; index < 10; index++) {
          assert.is((await call(entry, "/quoting/1")).outcome, "answer");
        }
        assert.is(backends[0]!.requests.length, 0);
      },
    ));
}

test("a VM that announces that it is leaving gets no new requests and is reported until it returns", () =>
  withEntry({
    backends: [
      (socket, { path }) =>
        socket.write(rawResponse(path, "Cowslipferry-Leaving: true\r\n")),
      respondWithPath,
    ],
  }, async ({ entry, backends, fleet }) => {
    for (let index = 0; index < 10; index++) await call(entry, "/quoting/1");
    assert.is(backends[0]!.requests.length, 1);
    assert.equal(entry.proxy.load().leavingVms, ["vm-1"]);
    assert.equal(entry.proxy.load().drainingInFlight, { "vm-1": 0 });
    const record = structuredClone(fleet.fleet.get()!);
    record.vms["vm-1"]!.changedAtMs = 5;
    fleet.fleet.set(record);
    assert.equal(entry.proxy.load().leavingVms, []);
  }));

test("requests in flight on a draining VM are reported and finish", () =>
  withEntry({ backends: [respondAfter(100)] }, async ({ entry, fleet }) => {
    const pending = call(entry, "/quoting/1", POST_REQUEST);
    await waitFor(
      "the request is sent",
      () => entry.proxy.load().services.quoting!.inFlight === 1,
    );
    ANNOUNCEMENTS["the fleet record"]!({ entry, fleet, backends: [] });
    assert.equal(entry.proxy.load().drainingInFlight, { "vm-1": 1 });
    assert.is((await call(entry, "/quoting/2")).error, "no_instance");
    assert.is((await pending).outcome, "answer");
    assert.equal(entry.proxy.load().drainingInFlight, { "vm-1": 0 });
  }));

test("a drain refuses new requests and waits for those in flight", () =>
  withEntry({ backends: [respondAfter(100)] }, async ({ entry }) => {
    const pending = call(entry, "/quoting/1", POST_REQUEST);
    await waitFor(
      "the request is sent",
      () => entry.proxy.load().services.quoting!.inFlight === 1,
    );
    let drained = false;
    const drain = entry.proxy.drain().then(() => drained = true);
    const refused = await call(entry, "/quoting/2");
    assert.is(refused.error, "draining");
    assert.is(refused.headers.connection, "close");
    assert.is(drained, false);
    const response = await pending;
    assert.is(response.outcome, "answer");
    assert.is(response.headers.connection, "close");
    await drain;
    assert.is(entry.proxy.inFlight(), 0);
  }));

test("an isolated entry refuses new requests", async () => {
  let isolated = true;
  await withEntry(
    { backends: [respondWithPath], isolated: () => isolated },
    async ({ entry, backends }) => {
      const refused = await call(entry, "/quoting/1");
      assert.is(refused.outcome, "not_run");
      assert.is(refused.error, "isolated");
      assert.is(backends[0]!.requests.length, 0);
      isolated = false;
      assert.is((await call(entry, "/quoting/1")).outcome, "answer");
      const [answers] = entry.proxy.metrics().filter(({ labels }) =>
        labels.outcome === "answer"
      );
      assert.is(answers!.count, 1);
      assert.ok(answers!.quantiles["0.5"]! > 0);
    },
  );
});

test.run();
