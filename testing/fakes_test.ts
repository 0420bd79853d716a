import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createHttpVmList } from "../src/ports/http_vm_list.ts";
import type { BackendFault } from "./backend_faults.ts";
import { startBackendServer } from "./backend_server.ts";
import { FakeRecordStore } from "./fake_record_store.ts";
import { createRandom } from "./random.ts";
import { startTcpRelay } from "./tcp_relay.ts";
import { startVmListServer } from "./vm_list_server.ts";
import { waitFor } from "./wait.ts";

// Guards against faults that aren't injected, with which the tests of the request path would pass without testing anything.
const FAULTS: { fault: BackendFault; completes: boolean; runs: number }[] = [
  { fault: { kind: "slow", extraMs: 10 }, completes: true, runs: 1 },
  { fault: { kind: "reset", at: "before_run" }, completes: false, runs: 0 },
  { fault: { kind: "reset", at: "after_run" }, completes: false, runs: 1 },
  { fault: { kind: "reset", at: "half_body" }, completes: false, runs: 1 },
  { fault: { kind: "truncated_body" }, completes: false, runs: 1 },
  { fault: { kind: "extra_bytes" }, completes: true, runs: 1 },
];

for (const { fault, completes, runs } of FAULTS) {
  test(`backend server fault ${JSON.stringify(fault)} reaches the client`, async () => {
    const server = await startBackendServer("a", {
      faults: [{ fault, rate: 1 }],
    });
    try {
      const text = await fetch(`http://${server.address}/a/1?bytes=5000`)
        .then((response) => response.text()).catch(() => undefined);
      assert.is(text !== undefined, completes);
      assert.is(server.journal.length, runs);
    } finally {
      await server.close();
    }
  });
}

test("a backend server executes at most as many requests at once as it has slots", async () => {
  const server = await startBackendServer("a", {
    serviceTimeMs: 300,
    slots: 2,
  });
  try {
    const responses = [1, 2, 3].map((id) =>
      fetch(`http://${server.address}/a/${id}`)
    );
    await waitFor("three requests arrived", () => server.inFlight() === 3);
    assert.is(server.journal.length, 2);
    await Promise.all(responses);
    assert.is(server.journal.length, 3);
  } finally {
    await server.close();
  }
});

test("a relay disconnects, pauses and restores a link", async () => {
  const server = await startBackendServer("a", { serviceTimeMs: 50 });
  const relay = await startTcpRelay(server.address);
  const get = () =>
    fetch(`http://${relay.address}/a/1`, { headers: { connection: "close" } })
      .then((response) => response.status).catch(() => "failed");
  try {
    assert.is(await get(), 200);
    relay.disconnect();
    assert.is(await get(), "failed");
    relay.restore();
    assert.is(await get(), 200);
    let responseCount = 0;
    const openBefore = get().finally(() => responseCount++);
    await waitFor("the request executes", () => server.journal.length === 3);
    relay.pause();
    const openAfter = get().finally(() => responseCount++);
    await waitFor(
      "the request has been executed",
      () => server.inFlight() === 0,
    );
    await delay(200);
    assert.is(responseCount, 0);
    relay.restore();
    assert.equal(await Promise.all([openBefore, openAfter]), [200, 200]);
  } finally {
    await relay.close();
    await server.close();
  }
});

test("the VM list also lags behind changes that a test makes directly", async () => {
  const server = await startVmListServer();
  const list = createHttpVmList(`http://${server.address}`);
  try {
    server.lagMs = 300;
    server.vms.set("a", {
      id: "a",
      role: "worker",
      state: "live",
      incarnation: "1",
      region: "r",
      dataCentre: "d",
      rack: "k",
      address: "127.0.0.1:1",
      controlAddress: "127.0.0.1:1",
      cores: 1,
      memoryMb: 1,
      accelerators: 0,
    });
    assert.is((await list.list()).length, 0);
    await waitFor(
      "the list shows the VM",
      async () => (await list.list()).length === 1,
    );
  } finally {
    await server.close();
  }
});

// Guards against a fake store that loses events, which looks as if the scheduler lost jobs.
test("a watch of the record store misses no write that happens while it responds", async () => {
  const store = new FakeRecordStore(createRandom(1));
  try {
    const client = store.client("entry-1");
    const first = client.watch("a/", { afterRevision: 1, waitMs: 1_000 });
    await delay(5);
    store.write("a/1", "1");
    await delay(1);
    store.write("a/2", "2");
    const watched = await first;
    assert.is(watched.kind, "events");
    if (watched.kind !== "events") return;
    const rest = await client.watch("a/", {
      afterRevision: watched.revision,
      waitMs: 50,
    });
    const seen = [watched, rest].flatMap((one) =>
      one.kind === "events" ? one.events : []
    );
    assert.equal(
      seen.map((event) => event.kind === "put" ? event.item.key : event.key),
      ["a/1", "a/2"],
    );
  } finally {
    store.close();
  }
});

test.run();
