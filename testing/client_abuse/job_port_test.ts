import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createPipeline,
  createUnfinishedBody,
  createUnfinishedHead,
  startAbusiveClients,
} from "./abusive_clients.ts";
import { monitorUsage } from "./process_usage.ts";
import {
  countWaiting,
  QUEUE,
  sendRequest,
  type VmLimits,
  withSchedulerProcess,
} from "./scheduler_process.ts";
import { waitFor } from "../wait.ts";

/** Limits of the VMs that the scheduler is deployed on. */
const VM_LIMITS: VmLimits = { memoryMb: 350, fileDescriptors: 4_100 };
/** A smaller VM, whose limits a small number of connections reaches. */
const SMALL_VM_LIMITS: VmLimits = { memoryMb: 192, fileDescriptors: 256 };
/** Default maximum size of a body, in bytes. */
const MAXIMUM_BODY_BYTES = 262_144;

const JOB = JSON.stringify({
  specification: "x".repeat(100),
  steps: [{ count: 1, cpu: 500, "mem-mb": 64, "estimated-ms": 100 }],
});

function toJobId(connection: number, index: number): string {
  return (connection * 1_000_000 + index).toString(16).padStart(16, "a");
}

function createSubmission(jobId: string): string {
  return `POST ${QUEUE.prefix}${jobId} HTTP/1.1\r\nhost: ${QUEUE.host}\r\ncontent-type: application/json\r\ncontent-length: ${JOB.length}\r\n\r\n${JOB}`;
}

const SUBMISSION_HEAD = `POST ${QUEUE.prefix}${
  toJobId(0, 0)
} HTTP/1.1\r\nhost: ${QUEUE.host}\r\n`;

interface AbuseCase {
  readonly limits: VmLimits;
  readonly connections: number;
  readonly intervalMs?: number;
  readonly createInput: (connection: number) => Iterable<string>;
}

const ABUSE_CASES: Record<string, AbuseCase> = {
  "unfinished bodies in chunks of one byte": {
    limits: VM_LIMITS,
    connections: 20,
    createInput: () =>
      createUnfinishedBody({
        head: SUBMISSION_HEAD,
        chunkBytes: 1,
        bodyBytes: 200_000,
      }),
  },
  "unfinished bodies in large chunks": {
    limits: { ...SMALL_VM_LIMITS, fileDescriptors: 4_100 },
    connections: 600,
    createInput: () =>
      createUnfinishedBody({
        head: SUBMISSION_HEAD,
        chunkBytes: 16_000,
        bodyBytes: MAXIMUM_BODY_BYTES,
      }),
  },
  "pipelined submissions whose responses aren't read": {
    limits: VM_LIMITS,
    connections: 20,
    createInput: (connection) =>
      createPipeline({
        count: 20_000,
        createRequest: (index) => createSubmission(toJobId(connection, index)),
      }),
  },
  "pipelined reads whose responses aren't read": {
    limits: VM_LIMITS,
    connections: 40,
    createInput: () =>
      createPipeline({
        count: 50_000,
        createRequest: () =>
          `GET ${QUEUE.prefix} HTTP/1.1\r\nhost: ${QUEUE.host}\r\n\r\n`,
        pieceBytes: 2_048,
      }),
  },
  "pipelined requests without a host": {
    limits: VM_LIMITS,
    connections: 600,
    createInput: () =>
      createPipeline({
        count: 20_000,
        createRequest: () => "GET / HTTP/1.1\r\n\r\n",
      }),
  },
  "more unfinished heads than descriptors": {
    limits: SMALL_VM_LIMITS,
    connections: 600,
    intervalMs: 500,
    createInput: () => createUnfinishedHead(`GET ${QUEUE.prefix} HTTP/1.1`, 10),
  },
};

for (const [name, abuse] of Object.entries(ABUSE_CASES)) {
  // Guards against clients that exhaust the memory or the descriptors of a process and thereby end it.
  test(`the scheduler survives ${name} and still answers others`, () =>
    withSchedulerProcess(abuse.limits, async ({ child, address, port }) => {
      const monitor = monitorUsage({ processId: child.child.pid!, port });
      const clients = await startAbusiveClients({ ...abuse, address });
      try {
        const response = await countWaiting(address);
        assert.is(response.status, 200);
        assert.is(child.child.exitCode, null);
        assert.is(child.child.signalCode, null);
      } finally {
        monitor.stop();
        clients.close();
        console.log(`${name}: ${JSON.stringify(monitor.peak)}`);
      }
      assert.ok(
        monitor.peak.memoryBytes <= abuse.limits.memoryMb * 1_048_576,
        `${monitor.peak.memoryBytes} bytes of memory`,
      );
      assert.ok(
        monitor.peak.descriptors < abuse.limits.fileDescriptors,
        `${monitor.peak.descriptors} descriptors`,
      );
    }));
}

// Guards against valid jobs that together exceed the memory of the owner, and of each owner after it.
test("the owner survives many jobs of the maximum number of tasks and still answers others", () =>
  withSchedulerProcess(VM_LIMITS, async ({ child, address, port }) => {
    const monitor = monitorUsage({ processId: child.child.pid!, port });
    // No worker has as much CPU, so that the tasks wait.
    const body = JSON.stringify({
      specification: "",
      steps: [{ count: 20_000, cpu: 1_000_000, "estimated-ms": 100 }],
    });
    const statuses: number[] = [];
    for (let index = 0; index < 60; index++) {
      const { status } = await sendRequest(address, {
        method: "POST",
        path: QUEUE.prefix + toJobId(0, index),
        headers: { host: QUEUE.host, "content-type": "application/json" },
        bodyParts: [body],
      });
      statuses.push(status);
    }
    assert.is(statuses[0], 200);
    assert.equal(statuses.filter((status) => ![200, 503].includes(status)), []);
    const accepted = statuses.filter((status) => status === 200).length;
    // The count may be up to two seconds old.
    await waitFor("all accepted jobs are counted", async () => {
      const response = await countWaiting(address);
      assert.is(response.status, 200);
      return JSON.parse(response.text).waiting === accepted;
    });
    monitor.stop();
    console.log(`large jobs: ${JSON.stringify(monitor.peak)}`);
    assert.ok(monitor.peak.memoryBytes <= VM_LIMITS.memoryMb * 1_048_576);
  }));

for (const server of ["readinessAddress", "peerAddress"] as const) {
  // Guards against connections to another server that use up the descriptors of the process.
  test(`the scheduler survives more idle connections to its ${server} than descriptors and still answers callers`, () =>
    withSchedulerProcess(SMALL_VM_LIMITS, async (scheduler) => {
      const { child, address, port } = scheduler;
      const monitor = monitorUsage({ processId: child.child.pid!, port });
      const clients = await startAbusiveClients({
        address: scheduler[server],
        connections: 600,
        createInput: () => [],
      });
      try {
        const response = await countWaiting(address);
        assert.is(response.status, 200);
      } finally {
        monitor.stop();
        clients.close();
      }
      assert.ok(
        monitor.peak.descriptors < SMALL_VM_LIMITS.fileDescriptors,
        `${monitor.peak.descriptors} descriptors`,
      );
    }));
}

// Guards against clients that hold their connections and thereby keep a process from stopping or cut off others.
test("a stopping scheduler answers a request in progress and exits although clients hold connections", () =>
  withSchedulerProcess(VM_LIMITS, async ({ child, address }) => {
    const inputs: (() => Iterable<string>)[] = [
      () => createUnfinishedHead(`GET ${QUEUE.prefix} HTTP/1.1`, 3),
      () =>
        createUnfinishedBody({
          head: SUBMISSION_HEAD,
          chunkBytes: 100,
          bodyBytes: 20_000,
        }),
      () =>
        createPipeline({
          count: 100,
          createRequest: () =>
            `GET ${QUEUE.prefix} HTTP/1.1\r\nhost: ${QUEUE.host}\r\n\r\n`,
        }),
    ];
    const clients = await startAbusiveClients({
      address,
      connections: 30,
      createInput: (connection) => inputs[connection % inputs.length]!(),
    });
    try {
      const answered = sendRequest(address, {
        method: "POST",
        path: QUEUE.prefix + toJobId(0, 2),
        headers: {
          host: QUEUE.host,
          "content-type": "application/json",
          "cowslipferry-deadline-milliseconds": "30000",
        },
        bodyParts: [JOB.slice(0, 20), JOB.slice(20, 40), JOB.slice(40)],
        partIntervalMs: 200,
      });
      setTimeout(() => child.child.kill("SIGTERM"), 100);
      const response = await answered;
      assert.is(response.status, 200, response.text);
      assert.is(await child.exited, 0);
    } finally {
      clients.close();
    }
  }));

test("the scheduler accepts a job whose body of the maximum size arrives slowly in small chunks", () =>
  withSchedulerProcess(VM_LIMITS, async ({ address }) => {
    const padding = " ".repeat(MAXIMUM_BODY_BYTES - JOB.length);
    const body = JOB + padding;
    const bodyParts = Array.from(
      { length: 64 },
      (_, index) =>
        body.slice(index * body.length / 64, (index + 1) * body.length / 64),
    );
    const response = await sendRequest(address, {
      method: "POST",
      path: QUEUE.prefix + toJobId(0, 1),
      headers: {
        host: QUEUE.host,
        "content-type": "application/json",
        "transfer-encoding": "chunked",
        "cowslipferry-deadline-milliseconds": "30000",
      },
      bodyParts,
      partIntervalMs: 20,
    });
    assert.is(response.status, 200, response.text);
  }));

test("the scheduler answers each request of a client that sends several ahead and reads the responses", () =>
  withSchedulerProcess(VM_LIMITS, async ({ address }) => {
    const count = 20;
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    let output = "";
    socket.on("data", (chunk) => output += chunk);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    for (let index = 0; index < count; index++) {
      const last = index === count - 1;
      socket.write(
        `GET ${QUEUE.prefix} HTTP/1.1\r\nhost: ${QUEUE.host}\r\n${
          last ? "connection: close\r\n" : ""
        }\r\n`,
      );
    }
    await closed;
    assert.is(output.match(/HTTP\/1\.1 200 /g)?.length, count);
  }));

test.run();
