import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PRE_DRAIN_DELAY_MS } from "../../src/shutdown.ts";
import { createHttpWorkerAgent } from "../../src/ports/http_worker_agent.ts";
import { callEntry, type CallResult, isExpectedAnswer } from "../caller.ts";
import { waitFor } from "../wait.ts";
import { countBy, runConcurrently, withDeployment } from "./scenario.ts";

/** Longer than an entry that stops goes on serving and closing connections before it must wait for requests. */
const LONG_SERVICE_TIME_MS = PRE_DRAIN_DELAY_MS + 2_500;
const LONG_DEADLINE_MS = 20_000;
const IN_FLIGHT = 24;

test("an entry that stops aborts no request in flight", () =>
  withDeployment({ entryCount: 2 }, async ({ entries, backends }) => {
    const [stopped] = entries;
    for (const { behaviour } of backends.values()) {
      behaviour.serviceTimeMs = LONG_SERVICE_TIME_MS;
    }
    const paths = Array.from(
      { length: IN_FLIGHT },
      (_, index) => `/survey/stop/${index}`,
    );
    const results = paths.map((path) =>
      callEntry(`http://${stopped!.callerAddress}${path}`, {
        method: "POST",
        deadlineMs: LONG_DEADLINE_MS,
      })
    );
    const countRuns = () =>
      [...backends.values()].flatMap(({ journal }) => journal)
        .filter(({ path }) => path.startsWith("/survey/stop/")).length;
    await waitFor("all requests run", () => countRuns() === IN_FLIGHT);
    stopped!.process.kill("SIGTERM");
    const ended = await Promise.all(results);
    const own = ended.filter((result, index) =>
      isExpectedAnswer(result, { path: paths[index]! })
    );
    assert.is(own.length, IN_FLIGHT, JSON.stringify(ended.slice(0, 3)));
    assert.is(await stopped!.exited, 0);
  }));

test("requests that arrive during an entry's stop are refused, never dropped", () =>
  withDeployment({
    serviceTimeMs: 100,
    entryCount: 2,
  }, async ({ entries, backends }) => {
    const [stopped] = entries;
    const results: { path: string; result: CallResult }[] = [];
    let exited = false;
    void stopped!.exited.then(() => exited = true);
    const running = runConcurrently(
      { count: 2_000, concurrency: 16 },
      async (index) => {
        // A connection that is refused or closed before its request ends this loop quickly.
        if (exited) return;
        const path = `/survey/during/${index}`;
        const result = await callEntry(
          `http://${stopped!.callerAddress}${path}`,
          { method: "POST" },
        );
        results.push({ path, result });
      },
    );
    await waitFor("requests are answered", () => results.length > 50);
    stopped!.process.kill("SIGTERM");
    await running;
    const runs = new Set(
      [...backends.values()].flatMap(({ journal }) =>
        journal.map(({ path }) => path)
      ),
    );
    const aborted = results.filter(({ path, result }) =>
      result.kind !== "answer" && runs.has(path)
    );
    assert.equal(aborted, [], "ran, but its caller got no answer");
    console.log(countBy(results, ({ result }) => result.kind));
  }));

test("a backend server that drains and reboots aborts no request", () =>
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
