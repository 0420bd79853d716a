import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LEDGER_SHARD } from "../../src/jobs/quota_ledger.ts";
import { ownerOf } from "../../src/jobs/ownership.ts";
import type { EntryDigest } from "../../src/peers/messages.ts";
import { waitFor } from "../wait.ts";
import { runConcurrently, withDeployment } from "./scenario.ts";

const JOB_COUNT = 60;
const QUOTA_CORES = 96;
const JOB_SPEC = {
  pool: "quoting",
  team: "quoting-team",
  jobClass: "report",
  command: "run 2500",
  cores: 8,
  memoryMb: 100,
  runTimeMs: 2_500,
  idempotent: true,
};

// Guards against several entries that exceed a team's quota together, also when the entry that owns
// the quota ledger is killed.
test("a team uses its full quota but never exceeds it while the owner of the quota ledger is killed", async () => {
  const worker = { agent: { reportLagMs: 2_000 } };
  await withDeployment({ entryCount: 3, worker }, async (deployment) => {
    const { entries, workers } = deployment;
    const digests = entries.map(({ id, callerAddress }) => ({
      entryId: id,
      region: "khomas",
      callerAddress,
      ready: true,
      stopping: false,
    })) as EntryDigest[];
    const { entryId } = ownerOf(
      LEDGER_SHARD,
      { entryId: entries[0]!.id, region: "khomas" },
      digests,
    );
    const ledgerOwner = entries.find(({ id }) => id === entryId)!;
    const otherEntries = entries.filter((entry) => entry !== ledgerOwner);
    const call = (index: number, route: string, init: RequestInit) =>
      fetch(
        `http://${
          otherEntries[index % otherEntries.length]!.callerAddress
        }/.cowslipferry/jobs${route}`,
        { ...init, signal: AbortSignal.timeout(8_000) },
      );
    const keys: string[] = [];
    async function submit(index: number): Promise<void> {
      const issued = await call(index, "/keys", { method: "POST" });
      const { key } = await issued.json() as { key: string };
      const headers = { "idempotency-key": key };
      const body = JSON.stringify(JOB_SPEC);
      await waitFor("the job is accepted", async () => {
        const request = { method: "POST", body, headers };
        const response = await call(index, "", request).catch(() => undefined);
        return response?.ok ?? false;
      }, { timeoutMs: 60_000 });
      keys.push(key);
    }
    let highestUsedCores = 0;
    let endedJobs = 0;
    async function sample(): Promise<void> {
      const counts = await Promise.all(
        [...workers.values()].map(async ({ controlAddress }) => {
          const response = await fetch(`http://${controlAddress}/v1/report`);
          const { tasks } = await response.json() as {
            tasks: { state: string; usedCores: number }[];
          };
          const done = tasks.filter(({ state }) => state === "succeeded");
          endedJobs += done.length;
          return tasks.reduce((sum, { usedCores }) => sum + usedCores, 0);
        }),
      );
      highestUsedCores = Math.max(
        highestUsedCores,
        counts.reduce((a, b) => a + b, 0),
      );
    }
    await runConcurrently({ count: JOB_COUNT, concurrency: 6 }, submit);
    let ownerKilled = false;
    await waitFor("all jobs end", async () => {
      endedJobs = 0;
      await sample();
      if (!ownerKilled && endedJobs >= JOB_COUNT / 6) {
        ownerKilled = true;
        ledgerOwner.process.kill("SIGKILL");
      }
      await delay(50);
      return endedJobs >= JOB_COUNT;
    }, { timeoutMs: 120_000 });
    console.log(`at most ${highestUsedCores} of ${QUOTA_CORES} cores in use`);
    assert.ok(ownerKilled);
    assert.is(
      highestUsedCores,
      QUOTA_CORES,
      "the quota must be used fully and not exceeded",
    );
  });
});

test.run();
process.once("beforeExit", () => process.exit());
