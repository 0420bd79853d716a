import type { Occurrence } from "../job_state.ts";
import type { PendingOccurrence } from "../job_order.ts";
import { meanCapacity, toVmEquivalents } from "../placed_tasks.ts";
import type { WorkspaceConfig } from "../ports.ts";
import type { WorkerInstance } from "../worker_table.ts";
import { sumUsage } from "./usage.ts";

/** Time constant of the decay of earlier usage, in ms; waiting work counts as if it ran for this long. */
const USAGE_WINDOW_MS = 5_000;
/** Time after its due time from which an overdue occurrence may be put first, in ms. */
const AGED_AFTER_MS = 20_000;
/** Pause between two occurrences of a pool that are put first, in ms, so that aged work can't make the whole pool late. */
const AGED_INTERVAL_MS = 500;
/** Longest time for which an occurrence that can't start is put first, in ms. */
const AGED_TURN_MS = 2_000;
/** Minimum weight, so that a workspace with a weight of 0 has a finite relative usage. */
const MINIMUM_WEIGHT = 0.1;

/** How far the workspaces are above their shares of a pool, at the start of a planning round. */
export interface PoolShares {
  /** Returns the VMs that a workspace uses per unit of its weight; `keptVmMs` is its kept waiting work in VM-milliseconds. */
  relativeUsage(workspace: string, keptVmMs: number): number;
}

/** Usage of a pool by workspace, in VMs, at the time of its latest observation. */
interface PoolUsage {
  atMs: number;
  current: ReadonlyMap<string, number>;
  /** Moving averages of the usage. */
  readonly recent: Map<string, number>;
}

/** Keeps the recent usage of the pools during one tenure. */
export interface FairShare {
  /** Records what the workspaces run on the pool's workers, and returns their usage relative to their weights. */
  observe(
    service: string,
    workers: readonly Pick<WorkerInstance, "tasks" | "registration">[],
    workspaces: readonly WorkspaceConfig[],
  ): PoolShares;
  /**
   * Chooses the overdue occurrence that goes first until one of its tasks is
   * placed: the oldest of those that were chosen least recently; undefined if it
   * is nobody's turn. Without it, an overdue job of a pool that stays full would
   * never run.
   */
  chooseAged(
    service: string,
    occurrences: readonly PendingOccurrence[],
    wallMs: number,
  ): PendingOccurrence | undefined;
  /** Ends the turn of the chosen occurrence, of which a task was placed. */
  endTurn(service: string): void;
}

/** Turn of an aged occurrence of a pool. */
interface AgedTurn {
  readonly occurrence: Occurrence;
  readonly sinceMs: number;
  endedAtMs: number | undefined;
}

/** Measures what each workspace runs on the workers, in VMs of their mean capacity; the scarcest resource decides. */
function measureUsage(
  workers: readonly Pick<WorkerInstance, "tasks" | "registration">[],
): Map<string, number> {
  const capacity = meanCapacity(
    workers.flatMap(({ registration }) => registration?.capacity ?? []),
  );
  const usage = new Map<string, number>();
  if (capacity === undefined) return usage;
  for (const [workspace, sums] of sumUsage(workers)) {
    usage.set(workspace, toVmEquivalents(sums, capacity));
  }
  return usage;
}

/** Returns the weights by workspace, and the mean weight for jobs of public queues and of removed workspaces. */
function readWeights(workspaces: readonly WorkspaceConfig[]) {
  const weights = new Map(
    workspaces.map(({ name, weight }) => [
      name,
      Math.max(weight, MINIMUM_WEIGHT),
    ]),
  );
  const sum = [...weights.values()].reduce(
    (total, weight) => total + weight,
    0,
  );
  return { weights, meanWeight: weights.size > 0 ? sum / weights.size : 1 };
}

/** Creates the record of a tenure, which starts without earlier usage. */
export function createFairShare(
  { nowMs }: { readonly nowMs: () => number },
): FairShare {
  const pools = new Map<string, PoolUsage>();
  const turns = new Map<string, AgedTurn>();
  const lastChosenAtMs = new WeakMap<Occurrence, number>();

  /** Moves the averages towards the mean of the usage at the start and at the end of the interval. */
  function updateRecent(
    { atMs, current, recent }: PoolUsage,
    latest: ReadonlyMap<string, number>,
  ): void {
    const factor = Math.exp(-(nowMs() - atMs) / USAGE_WINDOW_MS);
    const names = new Set([...recent.keys(), ...latest.keys()]);
    for (const name of names) {
      const during = ((current.get(name) ?? 0) + (latest.get(name) ?? 0)) / 2;
      const average = during + ((recent.get(name) ?? 0) - during) * factor;
      // A workspace that has used nothing for a minute is dropped.
      if (average > 1e-6) recent.set(name, average);
      else recent.delete(name);
    }
  }

  function findAged(
    occurrences: readonly PendingOccurrence[],
    wallMs: number,
  ): PendingOccurrence | undefined {
    const chosenAtMs = ({ occurrence }: PendingOccurrence) =>
      lastChosenAtMs.get(occurrence) ?? -Infinity;
    let chosen: PendingOccurrence | undefined;
    for (const pending of occurrences) {
      const { dueAtMs } = pending.occurrence;
      if (
        pending.timeliness !== "overdue" || wallMs - dueAtMs < AGED_AFTER_MS
      ) continue;
      if (
        chosen === undefined || chosenAtMs(pending) < chosenAtMs(chosen) ||
        (chosenAtMs(pending) === chosenAtMs(chosen) &&
          dueAtMs < chosen.occurrence.dueAtMs)
      ) chosen = pending;
    }
    return chosen;
  }

  return {
    observe(service, workers, workspaces) {
      const latest = measureUsage(workers);
      const pool: PoolUsage = pools.get(service) ??
        { atMs: nowMs(), current: latest, recent: new Map() };
      updateRecent(pool, latest);
      pool.atMs = nowMs();
      pool.current = latest;
      pools.set(service, pool);
      const { weights, meanWeight } = readWeights(workspaces);
      return {
        relativeUsage(workspace, keptVmMs) {
          const usedVms = (latest.get(workspace) ?? 0) +
            (pool.recent.get(workspace) ?? 0) + keptVmMs / USAGE_WINDOW_MS;
          return usedVms / (weights.get(workspace) ?? meanWeight);
        },
      };
    },
    chooseAged(service, occurrences, wallMs) {
      const turn = turns.get(service);
      if (turn !== undefined && turn.endedAtMs === undefined) {
        const current = occurrences.find(({ occurrence }) =>
          occurrence === turn.occurrence
        );
        if (current !== undefined && nowMs() - turn.sinceMs < AGED_TURN_MS) {
          return current;
        }
        turn.endedAtMs = nowMs();
      }
      if (nowMs() - (turn?.endedAtMs ?? -Infinity) < AGED_INTERVAL_MS) {
        return undefined;
      }
      const chosen = findAged(occurrences, wallMs);
      if (chosen === undefined) return undefined;
      const { occurrence } = chosen;
      turns.set(service, {
        occurrence,
        sinceMs: nowMs(),
        endedAtMs: undefined,
      });
      lastChosenAtMs.set(occurrence, nowMs());
      return chosen;
    },
    endTurn(service) {
      const turn = turns.get(service);
      if (turn !== undefined) turn.endedAtMs ??= nowMs();
    },
  };
}

/** Waiting work that may be deferred. */
interface DeferrableWork {
  readonly pending: PendingOccurrence;
  readonly remainingVmMs: number;
}

/** Chooses the work to defer among kept work of one priority, all of it excess or none. */
export interface DeferralQueue<Work extends DeferrableWork> {
  /** Adds kept work; the work with the least time left is added first. */
  add(work: Work): void;
  /** Removes and returns the work to defer next; undefined if none is left. */
  take(): Work | undefined;
}

/**
 * Creates an empty queue. Without `shares`, the work with the least time left
 * is deferred first; with them, that of the workspace furthest above its share.
 */
export function createDeferralQueue<Work extends DeferrableWork>(
  shares?: PoolShares,
): DeferralQueue<Work> {
  /** Kept work by workspace; one list without `shares`. */
  const lists = new Map<
    string,
    { readonly works: Work[]; next: number; keptVmMs: number }
  >();
  return {
    add(work) {
      const name = shares === undefined ? "" : work.pending.job.spec.workspace;
      let list = lists.get(name);
      if (list === undefined) {
        list = { works: [], next: 0, keptVmMs: 0 };
        lists.set(name, list);
      }
      list.works.push(work);
      list.keptVmMs += work.remainingVmMs;
    },
    take() {
      let highest: { name: string; usage: number } | undefined;
      for (const [name, { works, next, keptVmMs }] of lists) {
        if (next >= works.length) continue;
        const usage = shares?.relativeUsage(name, keptVmMs) ?? 0;
        if (highest === undefined || usage > highest.usage) {
          highest = { name, usage };
        }
      }
      if (highest === undefined) return undefined;
      const list = lists.get(highest.name)!;
      const work = list.works[list.next++]!;
      list.keptVmMs -= work.remainingVmMs;
      return work;
    },
  };
}
