import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PRE_DRAIN_DELAY_MS } from "../../src/shutdown.ts";
import { createHttpWorkerAgent } from "../../src/ports/http_worker_agent.ts";
import { callEntry, type CallResult, isExpectedAnswer } from "../caller.ts";
import { waitFor } from "../wait.ts";
import { countByName, runConcurrently, withDeployment } from "./scenario.ts";

/**
 * Longer than a stopping entry's pre-drain delay and the time in which it closes connections, so that
 * its shutdown has to wait for these requests.
 */
const LONG_SERVICE_TIME_MS = PRE_DRAIN_DELAY_MS + 2_500;
const LONG_DEADLINE_MS = 20_000;
const IN_FLIGHT = 24;

test("a stopping entry doesn't abort requests in flight", () =>
  withDeployment({ entryCount: 2 }, async ({ entries, backends }) => {
    const [stoppingEntry] = entries;
    for (const { behaviour } of backends.values()) {
      behaviour.serviceTimeMs = LONG_SERVICE_TIME_MS;
    }
    const paths = Array.from(
      { length: IN_FLIGHT },
      (_, index) => `/survey/stop/${index}`,
    );
    const results = paths.map((path) =>
      callEntry(`http://${stoppingEntry!.callerAddress}${path}`, {
        method: "POST",
        deadlineMs: LONG_DEADLINE_MS,
      })
    );
    const countRuns = () =>
      [...backends.values()].flatMap(({ journal }) => journal)
        .filter(({ path }) => path.startsWith("/survey/stop/")).length;
    await waitFor("all requests run", () => countRuns() === IN_FLIGHT);
    stoppingEntry!.process.kill("SIGTERM");
    const finishedResults = await Promise.all(results);
    const ownAnswers = finishedResults.filter((result, index) =>
      isExpectedAnswer(result, { path: paths[index]! })
    );
    assert.is(
      ownAnswers.length,
      IN_FLIGHT,
      JSON.stringify(finishedResults.slice(0, 3)),
    );
    assert.is(await stoppingEntry!.exited, 0);
  }));

test("requests that arrive while an entry stops are answered or refused, never dropped", () =>
  withDeployment({
    serviceTimeMs: 100,
    entryCount: 2,
  }, async ({ entries, backends }) => {
    const [stoppingEntry] = entries;
    const results: { path: string; result: CallResult }[] = [];
    let exited = false;
    void stoppingEntry!.exited.then(() => exited = true);
    const traffic = runConcurrently(
      { count: 2_000, concurrency: 16 },
      async (index) => {
        // After the exit, the remaining calls would only be refused connections.
        if (exited) return;
        const path = `/survey/during/${index}`;
        const result = await callEntry(
          `http://${stoppingEntry!.callerAddress}${path}`,
          { method: "POST" },
        );
        results.push({ path, result });
      },
    );
    await waitFor("requests are answered", () => results.length > 50);
    stoppingEntry!.process.kill("SIGTERM");
    await traffic;
    const runs = new Set(
      [...backends.values()].flatMap(({ journal }) =>
        journal.map(({ path }) => path)
      ),
    );
    const aborted = results.filter(({ path, result }) =>
      result.kind !== "answer" && runs.has(path)
    );
    assert.equal(aborted, [], "ran, but the caller got no answer");
    console.log(countByName(results, ({ result }) => result.kind));
  }));

test("draining and rebooting a backend server doesn't abort requests", () =>
  withDeployment({
    serviceTimeMs: 50,
    workerProcesses: 1,
  }, async ({ entries, workers }) => {
    const agent = createHttpWorkerAgent();
    const { controlAddress } = workers.get("survey-2")!;
    const results: CallResult[] = [];
    let stopped = false;
    const traffic = runConcurrently(
      { count: 100_000, concurrency: 24 },
      async (index) => {
        if (stopped) return;
        const address = entries[index % entries.length]?.callerAddress;
        results.push(
          await callEntry(`http://${address}/survey/reboot/${index}`, {
            method: "POST",
          }),
        );
      },
    );
    try {
      await waitFor("requests are answered", () => results.length > 100);
      await agent.drain(controlAddress, "intent-1");
      await delay(3_000);
      await agent.reboot(controlAddress, "intent-1");
      await waitFor("the reboot is reported", async () => {
        const report = await agent.report(controlAddress).catch(() => null);
        return report?.lastRebootIntentId === "intent-1";
      });
    } finally {
      stopped = true;
      await traffic;
    }
    const failed = results.filter((result) => result.kind !== "answer");
    assert.equal(failed.slice(0, 5), []);
  }));

test.run();
