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
  countBy,
  runConcurrently,
  SERVICES,
  withDeployment,
} from "./scenario.ts";

const OPERATIONS = 4_000;
const CONCURRENCY = 48;
const DEADLINE_MS = 1_000;
/** Deadlines below and close to the service time, so that entries refuse requests at different points. */
const SHORT_DEADLINES_MS: Readonly<Record<number, number>> = { 3: 5, 5: 18 };
const ATTEMPTS = 4;

interface Operation {
  readonly path: string;
  readonly keyed: boolean;
  readonly results: readonly CallResult[];
}

/** Faults by the number of operations that were started before them. */
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
  const injected: (Promise<void> | void)[] = [];
  await runConcurrently(
    { count: OPERATIONS, concurrency: CONCURRENCY },
    async (index) => {
      const fault = faults.get(index);
      if (fault !== undefined) injected.push(fault());
      const path = `/${SERVICES[index % SERVICES.length]}/once/${index}`;
      const first = random.nextInteger(entries.length);
      const addresses = entries.map((_, offset) =>
        entries[(first + offset) % entries.length]!.callerAddress
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
          attempts: ATTEMPTS,
        });
      operations.push({ path, keyed: key !== undefined, results });
    },
  );
  await Promise.all(injected);
  return operations;
}

test("a booking runs at most once and not_run is true under kills, freezes and cuts", async () => {
  const relays = createRelays((id) => id.endsWith("-1"));
  try {
    await withDeployment({
      serviceTimeMs: 15,
      workerProcesses: 2,
      adjustVm: relays.adjustVm,
    }, async (deployment) => {
      const operations = await runOperations(deployment, relays, chooseSeed());
      // What a frozen entry still sends would arrive now.
      await delay(DEADLINE_MS);
      const journals = await Promise.all(
        [...deployment.workers.values()].map((worker) => worker.journal()),
      );
      const runs = countBy(journals.flatMap(({ runs }) => runs), (r) => r.path);
      const arrivals = new Set(
        journals.flatMap(({ arrivals }) => arrivals.map(({ path }) => path)),
      );
      const results = operations.flatMap((operation) => operation.results);
      console.log(countBy(results, (result) => result.kind));
      console.log(countBy(
        results.flatMap((result) => result.kind === "not_run" ? [result] : []),
        (result) => result.reason,
      ));

      const twice = operations.filter(({ path }) => (runs[path] ?? 0) > 1);
      assert.equal(twice.slice(0, 5), [], "run more than once");
      const untrue = operations.filter(({ path, results }) =>
        results.every((result) => result.kind === "not_run") &&
        arrivals.has(path)
      );
      assert.equal(untrue.slice(0, 5), [], "not_run, but it arrived");
      const foreign = operations.filter(({ path, results }) =>
        results.some((result) =>
          result.kind === "answer" &&
          !isExpectedAnswer(result, {
            path,
            body: `order ${path.split("/")[3]}`,
          })
        )
      );
      assert.equal(foreign.slice(0, 5), [], "another caller's answer");
      const invented = operations.filter(({ path, results }) =>
        results.some((result) => result.kind === "answer") &&
        (runs[path] ?? 0) === 0
      );
      assert.equal(invented.slice(0, 5), [], "answered without a run");
      const answered = operations.filter(({ results }) =>
        results.some((result) => result.kind === "answer")
      );
      assert.ok(answered.length > OPERATIONS / 2, `${answered.length} answers`);
    });
  } finally {
    await relays.close();
  }
});

test.run();
