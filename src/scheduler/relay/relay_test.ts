import assert from "node:assert/strict";
import { createServer } from "node:http";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import fc from "fast-check";
import { suite } from "uvu";
import { listenOnLoopback } from "../../../testing/http_json_server.ts";
import { waitFor } from "../../../testing/wait.ts";
import { systemClock } from "../../clock.ts";
import { silentLogger } from "../../logger.ts";
import type { OrderOutcome, WorkerControl, WorkerReport } from "../ports.ts";
import { openRelayChannel, type RelayChannel } from "./channel.ts";
import { createRelayedControl } from "./control.ts";
import {
  createMessageReader,
  encodeMessage,
  EPOCH_HEADER,
  ordersMessageSchema,
  outcomesMessageSchema,
  RELAY_PATH,
  RELAY_PROTOCOL,
} from "./messages.ts";
import { createRelayServer } from "./server.ts";

const test = suite("relay");

const WORKER = { workerId: "w1", address: "127.0.0.1:1", dataCentre: "dc-1" };
const START = {
  taskId: "0123456789abcdef.0.0.0",
  run: 1,
  specification: "text",
  leaseEndMs: 7_000,
  fence: 3,
  checkpoint: "",
  ticket: undefined,
};
const POLL = { fence: 3, acknowledged: 2, leaseEndMs: 9_000, waitMs: 900 };
const REPORT: WorkerReport = {
  clockMs: 70,
  bornAtMs: 12,
  running: [{
    taskId: START.taskId,
    run: 1,
    checkpoint: "cp",
    percent: 40,
    loadMetric: 5,
  }],
  ended: [],
  hasMoreEnded: true,
};

/** A control that records its orders and answers with `outcomes`. */
function createScriptedControl() {
  const orders: string[] = [];
  const outcomes: { start: () => Promise<OrderOutcome> } = {
    start: () => Promise.resolve({ kind: "done", clockMs: 70 }),
  };
  const done = () => Promise.resolve({ kind: "done", clockMs: 70 } as const);
  const control: WorkerControl = {
    start: (worker, order) => {
      orders.push(`start ${worker.workerId} ${order.taskId} ${order.run}`);
      return outcomes.start();
    },
    stop: (_, order) => {
      orders.push(`stop ${order.run}`);
      return done();
    },
    throttle: (_, order) => {
      orders.push(`throttle ${order.percent}`);
      return done();
    },
    renewAndPoll: (_, order) => {
      orders.push(`poll ${order.acknowledged} ${order.waitMs}`);
      return Promise.resolve({ kind: "done", ...REPORT });
    },
    close: ({ workerId }) => void orders.push(`close ${workerId}`),
  };
  return { control, orders, outcomes };
}

/** A relay on the loopback address; `clock.skewMs` moves its wall clock. */
async function startRelay() {
  const scripted = createScriptedControl();
  const clock = {
    skewMs: 0,
    monotonicMs: () => performance.now(),
    wallMs: () => Date.now() + clock.skewMs,
  };
  const relay = createRelayServer({
    control: scripted.control,
    clock,
    log: silentLogger,
  });
  const server = createServer((_, response) => response.writeHead(404).end());
  server.on("upgrade", relay.onUpgrade);
  const { address, close } = await listenOnLoopback(server);
  const channels: RelayChannel[] = [];
  return {
    ...scripted,
    clock,
    relay,
    address,
    open: (epoch: number) => {
      const channel = openRelayChannel(address, { epoch, log: silentLogger });
      channels.push(channel);
      return channel;
    },
    async close() {
      for (const channel of channels) channel.close();
      relay.close();
      await close();
    },
  };
}

type TestRelay = Awaited<ReturnType<typeof startRelay>>;

async function withRelay(
  body: (relay: TestRelay) => Promise<void>,
): Promise<void> {
  const relay = await startRelay();
  try {
    await body(relay);
  } finally {
    await relay.close();
  }
}

const waitUntilOpen = (channel: RelayChannel) =>
  waitFor("the channel is open", () => channel.state() === "open");

/** The control of an owner with many workers and one relay, which is connected. */
async function createOwnerControl(relay: TestRelay, epoch = 3) {
  const direct = createScriptedControl();
  let channel: RelayChannel | undefined;
  const control = createRelayedControl({
    direct: direct.control,
    openChannel: () => channel = relay.open(epoch),
    countWorkers: () => 400,
    clock: systemClock,
    log: silentLogger,
  });
  control.addRelay({ address: relay.address, dataCentre: "dc-1" });
  await control.renewAndPoll(WORKER, POLL);
  await waitUntilOpen(channel!);
  relay.orders.splice(0);
  return { control, direct, channel: channel! };
}

// Guards against fields that get lost or change on the way through a relay.
test("orders and reports pass through a relay unchanged", async () => {
  await withRelay(async (relay) => {
    const { control, direct } = await createOwnerControl(relay);
    const outcomes = await Promise.all([
      control.start(WORKER, START),
      control.stop(WORKER, START),
      control.throttle(WORKER, { ...START, percent: 30 }),
      control.renewAndPoll(WORKER, POLL),
    ]);
    assert.deepEqual(outcomes[3], { kind: "done", ...REPORT });
    assert.equal((outcomes[0] as { clockMs: number }).clockMs, 70);
    control.close(WORKER);
    await waitFor("the close", () => relay.orders.length === 5);
    assert.deepEqual(relay.orders, [
      `start w1 ${START.taskId} 1`,
      "stop 1",
      "throttle 30",
      "poll 2 900",
      "close w1",
    ]);
    assert.deepEqual(direct.orders, ["close w1"]);
  });
});

// Guards against a second start of a task whose order the relay may have executed, and against a worker that counts as silent because its relay failed.
test("a lost start is unanswered, and a lost poll is repeated directly", async () => {
  await withRelay(async (relay) => {
    const { control, direct } = await createOwnerControl(relay);
    relay.outcomes.start = () => new Promise(() => {});
    const start = control.start(WORKER, START);
    await waitFor("the relay has the order", () => relay.orders.length === 1);
    relay.relay.close();
    assert.deepEqual(await start, { kind: "unknown" });
    assert.deepEqual(direct.orders, []);
    assert.equal((await control.start(WORKER, START)).kind, "done");
    assert.equal((await control.renewAndPoll(WORKER, POLL)).kind, "done");
    assert.deepEqual(direct.orders, [
      `start w1 ${START.taskId} 1`,
      "poll 2 900",
    ]);
  });
});

// Guards against a relay that was paused and then executes orders that the owner has given up.
test("a relay drops the orders that it receives after a pause", async () => {
  await withRelay(async (relay) => {
    const channel = relay.open(3);
    await waitUntilOpen(channel);
    relay.clock.skewMs = 5_000;
    const outcome = await channel.send({
      kind: "start",
      worker: WORKER,
      order: START,
    });
    assert.equal(outcome.kind, "lost");
    assert.deepEqual(relay.orders, []);
  });
});

// Guards against orders of two owners that are sent at the same time around a hand-over.
test("a newer owner's channel ends those of earlier owners for good", async () => {
  await withRelay(async (relay) => {
    const earlier = relay.open(3);
    await waitUntilOpen(earlier);
    const newer = relay.open(4);
    await waitUntilOpen(newer);
    await waitFor("the end", () => earlier.state() === "failed");
    const late = relay.open(3);
    await waitFor("the refusal", () => late.state() === "failed");
    const outcome = await earlier.send({
      kind: "stop",
      worker: WORKER,
      order: START,
    });
    assert.deepEqual(outcome, { kind: "lost", sent: false });
    assert.equal(newer.state(), "open");
    assert.deepEqual(relay.orders, []);
  });
});

// Guards against orders that are cut off, or wait for a timeout, because their relay stops as planned.
test("a stopping relay completes its orders and takes no new ones", async () => {
  await withRelay(async (relay) => {
    const { control, direct, channel } = await createOwnerControl(relay);
    let finish = (_: OrderOutcome) => {};
    relay.outcomes.start = () => new Promise((resolve) => finish = resolve);
    const start = control.start(WORKER, START);
    await waitFor("the relay has the order", () => relay.orders.length === 1);
    relay.relay.stop();
    await waitFor("the notice", () => channel.state() === "closing");
    assert.equal((await control.stop(WORKER, START)).kind, "done");
    assert.deepEqual(direct.orders, ["stop 1"]);
    finish({ kind: "refused", reason: "no_room" });
    assert.deepEqual(await start, { kind: "refused", reason: "no_room" });
    await waitFor("the end", () => channel.state() === "failed");
  });
});

// Guards against a relay that is taken as running because its connection is open.
test("a relay that falls silent fails its channel", async () => {
  const server = createServer();
  server.on("upgrade", (_, socket) => {
    socket.on("error", () => {});
    socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\nupgrade: ${RELAY_PROTOCOL}\r\n\r\n`,
    );
  });
  const { address, close } = await listenOnLoopback(server);
  const channel = openRelayChannel(address, { epoch: 1, log: silentLogger });
  try {
    await waitUntilOpen(channel);
    const outcome = await channel.send({
      kind: "stop",
      worker: WORKER,
      order: START,
    });
    assert.deepEqual(outcome, { kind: "lost", sent: true });
    assert.equal(channel.state(), "failed");
  } finally {
    channel.close();
    await close();
  }
});

// Guards against a malformed message that ends the process of a relay or of the owner.
test("a malformed message closes its channel and nothing else", async () => {
  await withRelay(async (relay) => {
    const good = relay.open(3);
    await waitUntilOpen(good);
    const [host, port] = relay.address.split(":");
    const socket = connect({ host: host!, port: Number(port) });
    let closed = false;
    socket.on("close", () => closed = true).resume();
    socket.on("error", () => {});
    socket.write(
      `GET ${RELAY_PATH} HTTP/1.1\r\nhost: relay\r\nconnection: Upgrade\r\n` +
        `upgrade: ${RELAY_PROTOCOL}\r\n${EPOCH_HEADER}: 3\r\n\r\n`,
    );
    await delay(50);
    socket.write('{"orders":[{"id":1,"order":{"kind":"start"}}]}\n');
    await waitFor("the channel is closed", () => closed);
    const outcome = await good.send({
      kind: "stop",
      worker: WORKER,
      order: START,
    });
    assert.equal(outcome.kind, "done");
  });
  fc.assert(fc.property(fc.string(), fc.json(), (text, json) => {
    for (const schema of [ordersMessageSchema, outcomesMessageSchema]) {
      const read = createMessageReader(schema, () => {});
      for (const line of [text, json]) {
        try {
          read(Buffer.from(`${line}\n`));
        } catch (error) {
          assert.ok(error instanceof Error);
        }
      }
    }
  }));
});

// Guards against messages that are split or merged by the connection.
test("a message may arrive in any pieces", () => {
  const message = encodeMessage({
    orders: [{ id: 4, order: { kind: "stop", worker: WORKER, order: START } }],
  });
  fc.assert(fc.property(fc.array(fc.nat(message.length * 3)), (cuts) => {
    const text = Buffer.from(message.repeat(3));
    const ids: number[] = [];
    const read = createMessageReader(ordersMessageSchema, ({ orders }) => {
      ids.push(...orders.map(({ id }) => id));
    });
    const ends = [0, ...cuts.sort((a, b) => a - b), text.length];
    ends.slice(1).forEach((end, index) =>
      read(text.subarray(ends[index], end))
    );
    assert.deepEqual(ids, [4, 4, 4]);
  }));
});

// Guards against a hop that a small fleet pays for without need.
test("orders to a small fleet and to a data centre without a relay are sent directly", async () => {
  await withRelay(async (relay) => {
    let workers = 40;
    const direct = createScriptedControl();
    const control = createRelayedControl({
      direct: direct.control,
      openChannel: () => relay.open(3),
      countWorkers: () => workers,
      clock: systemClock,
      log: silentLogger,
    });
    control.addRelay({ address: relay.address, dataCentre: "dc-1" });
    await control.stop(WORKER, START);
    workers = 400;
    await control.stop({ ...WORKER, dataCentre: "dc-2" }, START);
    assert.deepEqual(direct.orders, ["stop 1", "stop 1"]);
    assert.deepEqual(relay.orders, []);
    control.closeRelays();
  });
});

test.run();
