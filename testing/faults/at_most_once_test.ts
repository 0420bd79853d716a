import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  callEntry,
  type CallResult,
  callWithRetries,
  isExpectedAnswer,
  requestIdempotencyKey,
} from "../caller.ts";
import type { Deployment } from "../deployment.ts";
import { chooseSeed, createRandom } from "../random.ts";
import { createRelays, type Relays } from "./relays.ts";
import {
  countByName,
  runConcurrently,
  SERVICES,
  withDeployment,
} from "./scenario.ts";

const OPERATION_COUNT = 4_000;
const CONCURRENCY = 48;
const DEADLINE_MS = 1_000;
/** Deadlines below and close to the service time, so that requests are refused at different stages. */
const SHORT_DEADLINES_MS: Readonly<Record<number, number>> = { 3: 5, 5: 18 };
const MAXIMUM_ATTEMPTS = 4;

interface Operation {
  readonly path: string;
  readonly keyed: boolean;
  readonly results: readonly CallResult[];
}

/** Returns the faults to inject, keyed by the number of operations started before each. */
function planFaults(
  deployment: Deployment,
  relays: Relays,
): Map<number, () => Promise<void> | void> {
  const { entries, workers } = deployment;
  const relay = (id: string) => relays.byVm.get(id)!;
  const worker = (id: string) => workers.get(id)!;
  const freeze = async (index: number, timeMs: number) => {
    entries[index]?.process.kill("SIGSTOP");
    await delay(timeMs);
    entries[index]?.process.kill("SIGCONT");
  };
  return new Map([
    [400, () => relay("quoting-1").disconnect()],
    [500, () => relay("survey-1").pause()],
    [700, () => relay("quoting-1").restore()],
    [800, () => worker("cutshop-2").crash()],
    [900, () => freeze(1, 1_500)],
    [1_200, () => relay("survey-1").restore()],
    [1_400, () => worker("cutshop-2").restart()],
    [1_500, () => relay("entry-1").disconnect()],
    [1_700, () => worker("dispatch-3").crash()],
    [1_900, () => relay("entry-1").restore()],
    [2_000, () => {
      entries[2]?.process.kill("SIGKILL");
    }],
    [2_100, () => worker("dispatch-3").restart()],
    [2_300, () => relay("backoffice-1").pause()],
    [2_600, () => relay("backoffice-1").disconnect()],
    [2_700, () => freeze(0, 1_500)],
    [3_000, () => relay("backoffice-1").restore()],
    [3_200, () => freeze(1, 300)],
  ]);
}

async function runOperations(
  deployment: Deployment,
  relays: Relays,
  seed: number,
): Promise<Operation[]> {
  const random = createRandom(seed);
  const { entries } = deployment;
  const faults = planFaults(deployment, relays);
  const operations: Operation[] = [];
  const injectedFaults: (Promise<void> | void)[] = [];
  await runConcurrently(
    { count: OPERATION_COUNT, concurrency: CONCURRENCY },
    async (index) => {
      const fault = faults.get(index);
      if (fault !== undefined) injectedFaults.push(fault());
      const path = `/${SERVICES[index % SERVICES.length]}/once/${index}`;
      const firstIndex = random.nextInteger(entries.length);
      const addresses = entries.map((_, offset) =>
        entries[(firstIndex + offset) % entries.length]!.callerAddress
      );
      const call = {
        method: "POST",
        body: `order ${index}`,
        deadlineMs: SHORT_DEADLINES_MS[index % 8] ?? DEADLINE_MS,
        timeoutMs: 10_000,
      } as const;
      const key = index % 2 === 0
        ? await requestIdempotencyKey(addresses[0]!)
        : undefined;
      const results = key === undefined
        ? [await callEntry(`http://${addresses[0]}${path}`, call)]
        : await callWithRetries(addresses, {
          ...call,
          path,
          idempotencyKey: key,
          attempts: MAXIMUM_ATTEMPTS,
        });
      operations.push({ path, keyed: key !== undefined, results });
    },
  );
  await Promise.all(injectedFaults);
  return operations;
}

// Guards against requests that run twice, or that are reported as not_run although a backend
// server has received them, when processes are killed or frozen and links fail.
test("a request runs at most once, and one reported as not_run never arrives, under process and link faults", async () => {
  const relays = createRelays((id) => id.endsWith("-1"));
  try {
    await withDeployment({
      serviceTimeMs: 15,
      workerProcesses: 2,
      adjustVm: relays.adjustVm,
    }, async (deployment) => {
      const operations = await runOperations(deployment, relays, chooseSeed());
      // Leaves time for requests that a previously frozen entry still sends.
      await delay(DEADLINE_MS);
      const journals = await Promise.all(
        [...deployment.workers.values()].map((worker) => worker.journal()),
      );
      const runs = countByName(
        journals.flatMap(({ runs }) => runs),
        (r) => r.path,
      );
      const arrivals = new Set(
        journals.flatMap(({ arrivals }) => arrivals.map(({ path }) => path)),
      );
      const results = operations.flatMap((operation) => operation.results);
      console.log(countByName(results, (result) => result.kind));
      console.log(countByName(
        results.flatMap((result) => result.kind === "not_run" ? [result] : []),
        (result) => result.reason,
      ));

      const duplicated = operations.filter(({ path }) => (runs[path] ?? 0) > 1);
      assert.equal(duplicated.slice(0, 5), [], "run more than once");
      const wronglyNotRun = operations.filter(({ path, results }) =>
        results.every((result) => result.kind === "not_run") &&
        arrivals.has(path)
      );
      assert.equal(
        wronglyNotRun.slice(0, 5),
        [],
        "reported as not_run, but a backend server received it",
      );
      const mismatched = operations.filter(({ path, results }) =>
        results.some((result) =>
          result.kind === "answer" &&
          !isExpectedAnswer(result, {
            path,
            body: `order ${path.split("/")[3]}`,
          })
        )
      );
      assert.equal(
        mismatched.slice(0, 5),
        [],
        "answered with the response to another request",
      );
      const answeredWithoutRun = operations.filter(({ path, results }) =>
        results.some((result) => result.kind === "answer") &&
        (runs[path] ?? 0) === 0
      );
      assert.equal(
        answeredWithoutRun.slice(0, 5),
        [],
        "answered without a run",
      );
      const answered = operations.filter(({ results }) =>
        results.some((result) => result.kind === "answer")
      );
      assert.ok(
        answered.length > OPERATION_COUNT / 2,
        `${answered.length} answers`,
      );
    });
  } finally {
    await relays.close();
  }
});

test.run();
