import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FaultRate } from "../backend_faults.ts";
import { callEntry, type CallResult, isExpectedAnswer } from "../caller.ts";
import { chooseSeed, createRandom } from "../random.ts";
import {
  countByName,
  runConcurrently,
  SERVICES,
  withDeployment,
} from "./scenario.ts";

const REQUEST_COUNT = 21_000;
const DEADLINE_MS = 2_000;
/** Time after its deadline within which each request must get its final response, in ms. */
const GRACE_MS = 500;
/** Larger than the buffer limit: such bodies are streamed, and a truncated one shows as an aborted connection. */
const STREAMED_BYTES = 1_500_000;
const FAULTS: readonly FaultRate[] = [
  // Exceeds the deadline.
  { fault: { kind: "slow", extraMs: 2_500 }, rate: 0.002 },
  { fault: { kind: "reset", at: "before_run" }, rate: 0.005 },
  { fault: { kind: "reset", at: "after_run" }, rate: 0.005 },
  { fault: { kind: "reset", at: "half_body" }, rate: 0.005 },
  { fault: { kind: "truncated_body" }, rate: 0.005 },
  { fault: { kind: "extra_bytes" }, rate: 0.005 },
];
const BODY_SIZES = [0, 0, 0, 100, 1_000, 10_000, 100_000];

interface SentRequest {
  readonly path: string;
  readonly body: string;
  readonly streamed: boolean;
  readonly result: CallResult;
}

// Guards against responses that are truncated, late or belong to another request when backend servers fail.
test("a caller gets the complete response to its own request, exactly once and in time", () =>
  withDeployment({
    workerProcesses: 2,
    worker: { backend: { serviceTimeMs: 2, faults: FAULTS, journal: false } },
    settings: { logLevel: "warn" },
  }, async ({ entries }) => {
    const random = createRandom(chooseSeed());
    const sent: SentRequest[] = [];
    await runConcurrently(
      { count: REQUEST_COUNT, concurrency: 96 },
      async (index) => {
        const streamed = index % 500 === 0;
        const bytes = streamed
          ? STREAMED_BYTES
          : BODY_SIZES[random.nextInteger(BODY_SIZES.length)] ?? 0;
        const service = SERVICES[random.nextInteger(SERVICES.length)];
        const entry = entries[random.nextInteger(entries.length)];
        const path = `/${service}/own/${index}?bytes=${bytes}`;
        const body = random.next() < 0.5 ? `body of ${index}` : "";
        const result = await callEntry(
          `http://${entry?.callerAddress}${path}`,
          {
            method: body === "" ? "GET" : "POST",
            deadlineMs: DEADLINE_MS,
            ...(body === "" ? {} : { body }),
          },
        );
        sent.push({ path, body, streamed, result });
      },
    );

    console.log(countByName(sent, ({ result }) => result.kind));
    const mismatched = sent.filter((item) =>
      item.result.kind === "answer" && !isExpectedAnswer(item.result, item)
    );
    assert.equal(mismatched.map((item) => item.path), []);
    const incomplete = sent.filter(({ result, streamed }) =>
      result.kind === "unclassified" ||
      (result.kind === "no_response" && !streamed)
    );
    assert.equal(incomplete.slice(0, 5), []);
    const late = sent.filter(({ result, streamed }) =>
      !streamed && result.elapsedMs > DEADLINE_MS + GRACE_MS
    );
    assert.equal(late.slice(0, 5), []);
    const answered = sent.filter(({ result }) => result.kind === "answer");
    assert.ok(
      answered.length > REQUEST_COUNT * 0.9,
      `${answered.length} answers`,
    );
  }));

test.run();
