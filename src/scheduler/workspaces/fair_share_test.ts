import assert from "node:assert/strict";
import { suite } from "uvu";
import { createRandom } from "../../../testing/random.ts";
import { findUnattainable } from "../attainability.ts";
import {
  comparePendingOccurrences,
  type PendingOccurrence,
} from "../job_order.ts";
import type { WorkerInstance } from "../worker_table.ts";
import { createFairShare } from "./fair_share.ts";

const test = suite("fair share");

const STEP_MS = 20;
const TASK_MS = 800;
const OBJECTIVE_MS = 1_880;
const SEEDS = [1, 2, 3];

interface SimulatedJob {
  readonly workspace: string;
  readonly excess: boolean;
  readonly occurrence: { readonly dueAtMs: number };
  startedAtMs: number | undefined;
}

/** Runs one-task jobs on a pool of `slots` VMs; `rates` are jobs per second. Returns each workspace's share of jobs on time, and the jobs. */
function simulate(
  rates: Record<string, number>,
  { slots, seed, fair, seconds = 30, jobs = [] }: {
    slots: number;
    seed: number;
    fair: boolean;
    seconds?: number;
    jobs?: SimulatedJob[];
  },
) {
  const random = createRandom(seed);
  let nowMs = 0;
  const fairShare = createFairShare({ nowMs: () => nowMs });
  const workspaces = Object.keys(rates).map((name) => ({
    name,
    keyDigests: [],
    weight: 1,
    upperBound: { cpuMillis: 0, memoryMb: 0, gpuCount: 0 },
  }));
  const cpuMillis = 1_000;
  const empty = { memoryMb: 0, gpuCount: 0 };
  for (; nowMs < seconds * 1_000; nowMs += STEP_MS) {
    for (const [workspace, rate] of Object.entries(rates)) {
      for (
        let arrival = random.exponential(1_000 / rate);
        arrival < STEP_MS;
        arrival += random.exponential(1_000 / rate)
      ) {
        const occurrence = { dueAtMs: nowMs };
        const startedAtMs = undefined;
        jobs.push({ workspace, excess: false, occurrence, startedAtMs });
      }
    }
    const running = jobs.filter(({ startedAtMs }) =>
      startedAtMs !== undefined && startedAtMs > nowMs - TASK_MS
    );
    const usedByWorkspace = new Map<
      string,
      typeof empty & { cpuMillis: number }
    >();
    for (const { workspace } of running) {
      const used = usedByWorkspace.get(workspace)?.cpuMillis ?? 0;
      usedByWorkspace.set(workspace, { ...empty, cpuMillis: used + cpuMillis });
    }
    const pendings = new Map(
      jobs.filter(({ startedAtMs }) => startedAtMs === undefined).map((job) => {
        const deadlineMs = job.occurrence.dueAtMs + OBJECTIVE_MS;
        const latestStartMs = deadlineMs - TASK_MS;
        const pending = {
          job: { spec: job, started: false },
          occurrence: job.occurrence,
          priority: 0,
          longRunning: false,
          timeliness: nowMs <= latestStartMs
            ? "on_time"
            : nowMs <= latestStartMs + 2 * OBJECTIVE_MS
            ? "late"
            : "overdue",
          excess: job.excess,
          latestStartMs,
          deadlineMs,
          remainingWork: TASK_MS,
        } as unknown as PendingOccurrence;
        return [job, pending] as const;
      }),
    );
    const worker = {
      tasks: { usedByWorkspace },
      registration: { capacity: { cpuMillis, memoryMb: 1, gpuCount: 0 } },
    } as unknown as WorkerInstance;
    const deferred = findUnattainable(
      [...pendings.values()].map((pending) => ({
        pending,
        remainingVmMs: TASK_MS,
      })),
      {
        vms: slots,
        arrivingVms: 0,
        runningVmMs: running.length * TASK_MS / 2,
      },
      nowMs,
      fair ? fairShare.observe("pool", [worker], workspaces) : undefined,
    );
    const aged = fair
      ? fairShare.chooseAged("pool", [...pendings.values()], nowMs)
      : undefined;
    const ordered = [...pendings].map(([job, pending]) => ({
      job,
      pending: {
        ...pending,
        ...(deferred.has(pending) ? { timeliness: "deferred" as const } : {}),
        ...(pending === aged ? { aged: true } : {}),
      },
    })).sort((a, b) => comparePendingOccurrences(a.pending, b.pending));
    for (const { job, pending } of ordered.slice(0, slots - running.length)) {
      job.startedAtMs = nowMs;
      if ("aged" in pending) fairShare.endTurn("pool");
    }
  }
  const onTime = Object.keys(rates).map((name) => {
    const own = jobs.filter(({ workspace, occurrence }) =>
      workspace === name && occurrence.dueAtMs < nowMs - OBJECTIVE_MS
    );
    return own.filter(({ startedAtMs, occurrence }) =>
      startedAtMs !== undefined &&
      startedAtMs + TASK_MS <= occurrence.dueAtMs + OBJECTIVE_MS
    ).length / own.length;
  });
  return { onTime, jobs };
}

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Creates the rates of `count` workspaces, which together ask for `load` times what the slots can do. */
function createRates(count: number, slots: number, load: number) {
  const rate = load * slots * 1_000 / TASK_MS / count;
  return Object.fromEntries(
    Array.from({ length: count }, (_, index) => [`w${index}`, rate]),
  );
}

// Guards against a workspace whose surge makes the others' jobs late, also when admission control was not asked.
test("one workspace at eight times its usual: the others are served as without it", () => {
  for (const seed of SEEDS) {
    const rates = createRates(10, 40, 0.8);
    const surge = { ...rates, w0: rates.w0! * 8 };
    const options = { slots: 40, seed, fair: true };
    const others = ({ onTime }: ReturnType<typeof simulate>) =>
      mean(onTime.slice(1));
    const usual = others(simulate(rates, options));
    const before = others(simulate(surge, { ...options, fair: false }));
    const after = others(simulate(surge, options));
    const figures = `seed ${seed}: ${usual}, before ${before}, after ${after}`;
    assert.ok(after >= usual - 0.02, figures);
    assert.ok(before < usual - 0.1, figures);
  }
});

// Guards against workspaces that get nothing because others came first.
test("a hundred workspaces with the room of one VM: the worst tenth is nearer to the mean than by latest start alone", () => {
  const worstTenth = (fair: boolean, seed: number) => {
    const { onTime } = simulate(createRates(100, 16, 1.5), {
      slots: 16,
      seed,
      fair,
      seconds: 60,
    });
    const sorted = onTime.toSorted((a, b) => a - b);
    return mean(sorted.slice(0, 10)) / mean(sorted);
  };
  for (const seed of SEEDS) {
    const before = worstTenth(false, seed);
    const after = worstTenth(true, seed);
    assert.ok(after > before, `seed ${seed}: before ${before}, after ${after}`);
  }
});

// Guards against an excess job that never runs because the pool stays full.
test("all at once: no job starves in a pool that stays full", () => {
  for (const seed of SEEDS) {
    const startOf = (fair: boolean) => {
      // The first eight fill the pool.
      const jobs = Array.from({ length: 9 }, (_, index): SimulatedJob => ({
        workspace: "w0",
        excess: index === 8,
        occurrence: { dueAtMs: 0 },
        startedAtMs: undefined,
      }));
      const rates = createRates(2, 8, 2);
      simulate(rates, { slots: 8, seed, fair, jobs });
      return jobs[8]!.startedAtMs;
    };
    assert.equal(startOf(false), undefined, `seed ${seed}`);
    assert.ok((startOf(true) ?? Infinity) < 22_000, `seed ${seed}`);
  }
});

test.run();
