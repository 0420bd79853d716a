import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobSimulation, POOL } from "../../testing/job_simulation.ts";
import { createFakeStore } from "../../testing/fake_store.ts";
import { buildConfig, REGION } from "../../testing/fleet_simulation.ts";
import {
  createJobSpec,
  issueKeyForShard,
  submit,
} from "../../testing/job_helpers.ts";
import { StoreError } from "../errors.ts";
import { SHARD_COUNT } from "./job_key.ts";
import { type QuotaClaim, QuotaLedger } from "./quota_ledger.ts";
import { shardKey } from "./shard.ts";
import { ZERO_SIZE } from "./size.ts";

const QUOTA_CORES = 16;
const TEAM = `${POOL}-team`;

// Guards against an exceeded quota, because several entries use the same quota
// that the lagging reports show as free. Also guards against other shards using
// quota that was freed for an urgent job.
test("a team stays within its quota with several entries", async () => {
  const config = buildConfig([
    { name: POOL, vms: 12, minimumServingVms: 8 },
  ]);
  const jobs = new JobSimulation({
    store: createFakeStore(),
    workerCount: 12,
    reportLagMs: 2_000,
    config: {
      ...config,
      teams: [{ ...config.teams[0]!, name: TEAM, quota: { cores: 16 } }],
    },
  });
  const shards = Array.from({ length: 4 }, (_, shard) => shard);
  const dispatchers = shards.flatMap((shard) =>
    jobs.createEntryDispatchers(`entry-${shard}`, [shard])
  );
  const stepAll = async () => {
    jobs.tick(500);
    await Promise.all(dispatchers.map((dispatcher) => dispatcher.step()));
  };
  for (let step = 0; step < 8; step++) await stepAll();
  for (const [shard, dispatcher] of dispatchers.entries()) {
    for (let count = 0; count < 8; count++) {
      const spec = createJobSpec({ command: "run 5000", idempotent: true });
      await submit(dispatcher, issueKeyForShard(shard, jobs.nowMs), spec);
    }
  }
  const urgent = createJobSpec({
    // A separate class keeps its usage out of the profile of the normal jobs.
    jobClass: "urgent",
    command: "run 1000",
    priority: "urgent",
    cores: 6,
  });
  const urgentKeys: { key: string; sentAtMs: number }[] = [];
  let maximumUsedCores = 0;
  for (
    let step = 0;
    step < 200 && jobs.statistics.successes.size < 36;
    step++
  ) {
    await stepAll();
    if (step % 8 === 4 && urgentKeys.length < 4) {
      const key = issueKeyForShard(urgentKeys.length, jobs.nowMs);
      await submit(dispatchers[urgentKeys.length]!, key, urgent);
      urgentKeys.push({ key: key.key, sentAtMs: jobs.nowMs });
    }
    const tasks = [...jobs.workers.values()].flatMap((
      worker,
    ) => [...worker.tasks.values()]);
    const usedCores = tasks.filter(({ state }) => state === "running")
      .reduce((sum, { spec }) => sum + spec.cores, 0);
    maximumUsedCores = Math.max(maximumUsedCores, usedCores);
  }
  assert.is(jobs.statistics.successes.size, 36, "not all jobs succeeded");
  for (const { key, sentAtMs } of urgentKeys) {
    const waitMs = jobs.statistics.firstStartMs.get(key)! - sentAtMs;
    assert.ok(waitMs <= 5_400, `an urgent job waited ${waitMs} ms`);
  }
  assert.is(
    maximumUsedCores,
    QUOTA_CORES,
    "the quota is fully used but not exceeded",
  );
});

// Guards against an exceeded quota, because a shard returns a grant that an
// assignment with a lost response may still use.
test("a grant stays in use until the outcome of the write that used it is known", async () => {
  let losesResponses = false;
  const config = buildConfig([{ name: POOL, vms: 4, minimumServingVms: 2 }]);
  const store = createFakeStore({
    beforeCall({ method, key }) {
      if (
        losesResponses && method === "compareAndSwap" &&
        key === shardKey(REGION, 1)
      ) throw new StoreError("unknown_outcome", "The response was lost");
    },
  });
  const jobs = new JobSimulation({
    store,
    workerCount: 4,
    config: {
      ...config,
      teams: [{ ...config.teams[0]!, name: TEAM, quota: { cores: 2 } }],
    },
  });
  const dispatchers = [0, 1, 2].flatMap((shard) =>
    jobs.createEntryDispatchers(`entry-${shard}`, [shard])
  );
  const stepAll = async () => {
    jobs.tick(500);
    const steps = Promise.all(
      dispatchers.map((dispatcher) => dispatcher.step()),
    )
      .then(() => true);
    // A step waits for its changes until a flush finds their deadline passed.
    while (!await Promise.race([steps, delay(100, false)])) {
      jobs.tick(500);
      await Promise.all(dispatchers.map(({ writer }) => writer.flush()));
    }
    const running = [...jobs.workers.values()].flatMap(({ tasks }) =>
      [...tasks.values()].filter(({ state }) => state === "running")
    );
    return running.reduce((sum, { spec }) => sum + spec.cores, 0);
  };
  for (let step = 0; step < 8; step++) await stepAll();
  const [, normalShard, urgentShard] = dispatchers;
  const { id } = await submit(
    normalShard!,
    issueKeyForShard(1, jobs.nowMs),
    createJobSpec({ command: "run 60000" }),
  );
  losesResponses = true;
  await stepAll();
  await submit(
    urgentShard!,
    issueKeyForShard(2, jobs.nowMs),
    createJobSpec({ command: "run 60000", priority: "urgent" }),
  );
  for (let step = 0; step < 4; step++) await stepAll();
  losesResponses = false;
  for (let step = 0; step < 10; step++) {
    const usedCores = await stepAll();
    assert.ok(usedCores <= 2, `${usedCores} cores are used`);
  }
  assert.ok(jobs.statistics.starts.has(id), "the assignment was written");
});

// Guards against quota that stays in use forever, because the last claim of a
// shard was lost and the shard sends no more claims once it has no jobs.
test("a shard without jobs repeats its claim until it gets an answer, and not longer", async () => {
  const jobs = new JobSimulation({ store: createFakeStore(), workerCount: 1 });
  const [empty] = jobs.createEntryDispatchers("entry-1", [1]);
  const callsDuring = async (steps: () => Promise<unknown>) => {
    const before = jobs.ledgerTraffic.calls;
    for (let step = 0; step < 4; step++) {
      jobs.tick(500);
      await steps();
    }
    return jobs.ledgerTraffic.calls - before;
  };
  assert.ok(
    await callsDuring(() => empty!.step()) >= 3,
    "there is no ledger yet",
  );
  const [ledgerDispatcher] = jobs.createEntryDispatchers("entry-0", [0]);
  await callsDuring(
    async () => [await ledgerDispatcher!.step(), await empty!.step()],
  );
  assert.is(await callsDuring(() => empty!.step()), 0);
});

function createLedger(isFirst: boolean) {
  const store = createFakeStore();
  let nowMs = 0;
  const clock = { wallMs: () => nowMs, monotonicMs: () => nowMs };
  const ledger = new QuotaLedger({ store, region: REGION, clock, isFirst });
  const quotas = new Map([["t", { cores: 10 }]]);
  let sequence = 0;
  const cores = (count: number) => ({ ...ZERO_SIZE, cores: count });
  return {
    advance(ms: number) {
      nowMs += ms;
    },
    /** Sends a claim for a shard and returns the granted cores. */
    async claim(
      shard: number,
      team: { use?: number; urgent?: number; normal?: number; waited?: number },
      overrides: Partial<QuotaClaim> = {},
    ) {
      const claim = {
        use: cores(team.use ?? 0),
        urgent: cores(team.urgent ?? 0),
        normal: cores(team.normal ?? 0),
        waitedMs: team.waited ?? 0,
      };
      const common = {
        shard,
        fencingToken: 1,
        sequence: ++sequence,
        asks: true,
      };
      const teams = { t: claim };
      const grants = await ledger.claim(
        { ...common, teams, ...overrides },
        quotas,
      );
      return grants?.t?.cores;
    },
  };
}

// Guards against quota that is granted twice after a lost answer, a late claim
// or a move of the ledger to another entry.
test("what may be in use isn't granted again", async () => {
  const { claim } = createLedger(true);
  assert.is(await claim(1, { use: 2, normal: 5 }), 5);
  assert.is(await claim(2, { normal: 9 }), 3, "the grant to shard 1 counts");
  assert.is(await claim(1, { use: 3 }), 0, "an unused grant is returned");
  assert.is(await claim(1, { normal: 9 }, { sequence: 1 }), undefined);
  assert.is(await claim(3, { normal: 9 }), 4, "a late claim changes nothing");
  assert.is(await claim(1, { use: 9 }, { fencingToken: 2, sequence: 1 }), 0);
  assert.is(
    await claim(3, { normal: 9 }),
    0,
    "a new dispatcher's claim counts",
  );
});

test("a new ledger grants nothing while grants of the previous one may be in use", async () => {
  const { claim } = createLedger(false);
  assert.is(await claim(1, { normal: 5 }), undefined);
  for (let shard = 0; shard < SHARD_COUNT; shard++) await claim(shard, {});
  assert.is(
    await claim(1, { normal: 5 }),
    5,
    "the usage of all shards is known",
  );
  const other = createLedger(false);
  assert.is(await other.claim(1, { normal: 5 }), undefined);
  other.advance(3_000);
  assert.is(
    await other.claim(1, { normal: 5 }),
    5,
    "grants of the previous ledger have expired",
  );
});

// Guards against urgent and long-waiting jobs that are starved by jobs of other
// shards.
test("freed quota goes to urgent jobs and to the longest wait first", async () => {
  const { claim } = createLedger(true);
  await claim(1, { use: 8 });
  assert.is(await claim(2, { urgent: 4 }), 2);
  await claim(2, { urgent: 4 }, { asks: false });
  await claim(1, { use: 5 });
  assert.is(
    await claim(3, { normal: 9 }),
    1,
    "the demand of the urgent job is kept free",
  );
  await claim(3, {});
  await claim(2, { use: 4, normal: 8, waited: 70_000 });
  assert.is(await claim(3, { normal: 1 }), 0);
  assert.is(
    await claim(3, { urgent: 1 }),
    0,
    "the whole quota is in use or granted",
  );
});

test.run();
