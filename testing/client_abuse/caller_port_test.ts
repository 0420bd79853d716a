import { test } from "uvu";
import * as assert from "uvu/assert";
import { callEntry } from "../caller.ts";
import type { UserSettings } from "../../src/settings/schema.ts";
import type { EntryProcess } from "../deployment.ts";
import { withDeployment } from "../faults/scenario.ts";
import {
  createPipeline,
  createUnfinishedBody,
  startAbusiveClients,
} from "./abusive_clients.ts";
import { monitorUsage } from "./process_usage.ts";
import { sendRequest } from "./scheduler_process.ts";

/** Memory of the VMs that entries run on; the default of `limits.memoryMb`. */
const MEMORY_BYTES = 350 * 1_048_576;
/** Default of `limits.fileDescriptors`. */
const DESCRIPTORS = 4_096;
/** Default of `limits.maximumBodyBytes`. */
const MAXIMUM_BODY_BYTES = 8_388_608;

const POST_HEAD = "POST /quoting/abuse HTTP/1.1\r\nhost: x\r\n";
const SIGNATURE = "A".repeat(43);

interface AbuseCase {
  readonly connections: number;
  readonly createInput: (connection: number) => Iterable<string>;
}

const ABUSE_CASES: Record<string, AbuseCase> = {
  "unfinished bodies in large chunks": {
    connections: 100,
    createInput: () =>
      createUnfinishedBody({
        head: POST_HEAD,
        chunkBytes: 64_000,
        bodyBytes: MAXIMUM_BODY_BYTES,
      }),
  },
  "unfinished bodies in chunks of one byte": {
    connections: 100,
    createInput: () =>
      createUnfinishedBody({
        head: POST_HEAD,
        chunkBytes: 1,
        bodyBytes: 200_000,
      }),
  },
  "pipelined requests, each with a new key, whose responses aren't read": {
    connections: 100,
    createInput: (connection) =>
      createPipeline({
        count: 5_000,
        createRequest: (index) =>
          `POST /quoting/abuse HTTP/1.1\r\nhost: x\r\nidempotency-key: entry-1.run.${
            (connection * 10_000 + index).toString(36)
          }.zzzzzzzz.${SIGNATURE}\r\ncontent-length: 2\r\n\r\n{}`,
      }),
  },
  "pipelined requests without a host": {
    connections: 200,
    createInput: () =>
      createPipeline({
        count: 20_000,
        createRequest: () => "GET /quoting/abuse HTTP/1.1\r\n\r\n",
      }),
  },
};

function withEntry(
  check: (entry: EntryProcess) => Promise<void>,
  settings: Partial<UserSettings> = {},
) {
  return withDeployment(
    { entryCount: 1, settings },
    ({ entries }) => check(entries[0]!),
  );
}

for (const [name, abuse] of Object.entries(ABUSE_CASES)) {
  // Guards against clients that exhaust the memory of an entry and thereby end it.
  test(`an entry survives ${name} and still answers others`, () =>
    withEntry(async (entry) => {
      const address = entry.callerAddress;
      const monitor = monitorUsage({
        processId: entry.process.pid!,
        port: Number(address.split(":")[1]),
      });
      const clients = await startAbusiveClients({ ...abuse, address });
      try {
        const result = await callEntry(`http://${address}/quoting/ordinary`, {
          deadlineMs: 60_000,
        });
        assert.is(result.kind, "answer", JSON.stringify(result));
        assert.is(entry.process.exitCode, null);
        assert.is(entry.process.signalCode, null);
      } finally {
        monitor.stop();
        clients.close();
        console.log(`${name}: ${JSON.stringify(monitor.peak)}`);
      }
      assert.ok(
        monitor.peak.memoryBytes <= MEMORY_BYTES,
        `${monitor.peak.memoryBytes} bytes of memory`,
      );
      assert.ok(
        monitor.peak.descriptors < DESCRIPTORS,
        `${monitor.peak.descriptors} descriptors`,
      );
    }));
}

/** A smaller VM, whose descriptors a small number of connections uses up. */
const FEW_DESCRIPTORS = 256;

for (const server of ["adminAddress", "peerAddress"] as const) {
  // Guards against connections to another server that use up the descriptors of the process.
  test(`an entry survives more idle connections to its ${server} than descriptors and still answers others`, () =>
    withEntry(async (entry) => {
      const monitor = monitorUsage({
        processId: entry.process.pid!,
        port: Number(entry.callerAddress.split(":")[1]),
      });
      const clients = await startAbusiveClients({
        address: entry[server],
        connections: 600,
        createInput: () => [],
      });
      try {
        const result = await callEntry(
          `http://${entry.callerAddress}/quoting/ordinary`,
          { deadlineMs: 60_000 },
        );
        assert.is(result.kind, "answer", JSON.stringify(result));
      } finally {
        monitor.stop();
        clients.close();
      }
      assert.ok(
        monitor.peak.descriptors < FEW_DESCRIPTORS,
        `${monitor.peak.descriptors} descriptors`,
      );
    }, { limits: { fileDescriptors: FEW_DESCRIPTORS } }));
}

test("an entry serves a request whose body of the maximum size arrives slowly in chunks", () =>
  withEntry(async (entry) => {
    const part = "x".repeat(MAXIMUM_BODY_BYTES / 128);
    const response = await sendRequest(entry.callerAddress, {
      method: "POST",
      path: "/quoting/slow",
      headers: {
        "transfer-encoding": "chunked",
        "cowslipferry-deadline-ms": "30000",
      },
      bodyParts: Array.from({ length: 128 }, () => part),
      partIntervalMs: 20,
    });
    assert.is(response.status, 200, response.text.slice(0, 200));
  }));

test.run();
