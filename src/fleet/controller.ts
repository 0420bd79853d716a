import { type Operation, sleep, until } from "effection";
import type { Clock } from "../clock.ts";
import type { AppliedConfig } from "../config/schema.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Observable } from "../observable.ts";
import type { EntryDigest } from "../peers/messages.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { Store } from "../ports/store.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import type { WorkerAgent } from "../ports/worker_agent.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import {
  createControllerStore,
  type VersionedRecord,
} from "./controller_store.ts";
import { type Decision, MAXIMUM_DECISIONS } from "./decision_log.ts";
import { type DemandState, observeDemand } from "./demand.ts";
import { createIntentRunner } from "./intents.ts";
import { createRefusalFilter } from "./loan_refusals.ts";
import { planFleet } from "./plan.ts";
import type { WorkerView } from "./planning_context.ts";
import type { FleetRecord } from "./record.ts";
import { addAssignedTasks, createWorkerMonitor } from "./worker_monitor.ts";

/** Interval between planning steps, in ms. */
const PLANNING_INTERVAL_MS = 1_000;
/**
 * Interval between lease attempts of a standby entry, in ms. Together with
 * the lease's time to live it limits the time without a controller to 6 s.
 */
const STANDBY_INTERVAL_MS = 2_000;
/** Time to live of the controller lease, in ms. */
const LEASE_TTL_MS = 4_000;
/** Interval between writes of the demand history, in ms. */
const DEMAND_WRITE_INTERVAL_MS = 300_000;

/** Options of `createController`. */
export interface ControllerOptions {
  /** ID of this entry as the lease holder. */
  readonly holder: string;
  readonly region: string;
  readonly store: Store;
  readonly config: Observable<AppliedConfig | undefined>;
  /** The record that this entry follows; its revision shows when the controller has to read its copy again. */
  readonly fleet: Observable<FleetRecord | undefined>;
  /** The revision that the store last showed to this entry; undefined before the first one. */
  readonly storedRevision: Observable<number | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  /** Digests of the region's live entries, this one included. */
  readonly entries: Observable<readonly EntryDigest[]>;
  readonly workerAgent: WorkerAgent;
  /** Counts the tasks that are recorded as started on each VM, including those that no report shows yet; rejects with a `StoreError` or a `ValidationError`. */
  readonly readAssignedTasks: () => Promise<ReadonlyMap<string, number>>;
  readonly timing: ResolvedSettings["controller"];
  readonly clock: Clock;
  readonly log: Logger;
}

/** Result of a controller's step. */
export type StepResult =
  /** The configuration or the VM list is not known yet. */
  | { readonly kind: "not_ready" }
  /** Another entry holds the lease. */
  | { readonly kind: "standby"; readonly holder: string }
  /** The record was planned with a newer configuration than this entry has. */
  | { readonly kind: "outdated_config" }
  /** A peer follows a newer record than both the store and this entry. */
  | { readonly kind: "outdated_record" }
  /** Another controller changed the record first, or the write was lost. */
  | { readonly kind: "conflict" }
  | { readonly kind: "unchanged" | "written"; readonly revision: number };

/** A controller; each step must end before the next one is called. */
export interface Controller {
  /** Plans once; rejects with a `StoreError` or a `ValidationError`. */
  step(): Promise<StepResult>;
}

/** Creates a controller; losing its in-memory state does no harm. */
export function createController(options: ControllerOptions): Controller {
  const { holder, region, config, clock, log, workerAgent, timing } = options;
  const { unreachableAfterMs, wavePauseMs } = timing;
  const regionStore = createControllerStore(options.store, region);
  const monitor = createWorkerMonitor(workerAgent, {
    clock,
    unreachableAfterMs,
  });
  const intents = createIntentRunner({ workerAgent, monitor, clock, log });
  /** The record as last read or written; cleared whenever it may be outdated. */
  let cached: VersionedRecord | undefined;
  let demand: DemandState | undefined;
  let demandWrittenAtMs = clock.monotonicMs();
  let unwrittenDecisions: Decision[] = [];
  let refusals = createRefusalFilter();

  function recordDecisions(decisions: readonly Decision[]): void {
    unwrittenDecisions = [...unwrittenDecisions, ...decisions].slice(
      -MAXIMUM_DECISIONS,
    );
    for (const { kind, summary } of decisions) log.info(summary, { kind });
  }

  async function updateDemand(listedEntries: number, applied: AppliedConfig) {
    demand = observeDemand(demand ?? await regionStore.readDemand(), {
      config: applied.config,
      region,
      entries: options.entries.get(),
      listedEntries,
      nowMs: clock.wallMs(),
    });
    return demand;
  }

  /** Writes the decision log and the demand history; they are informational, so a failed write must not block planning. */
  async function writeHistory(): Promise<void> {
    const nowMs = clock.monotonicMs();
    try {
      if (unwrittenDecisions.length > 0) {
        await regionStore.appendLog(unwrittenDecisions);
        unwrittenDecisions = [];
      }
      if (
        demand !== undefined &&
        nowMs - demandWrittenAtMs >= DEMAND_WRITE_INTERVAL_MS
      ) {
        demandWrittenAtMs = nowMs;
        await regionStore.writeDemand(demand);
      }
    } catch (error) {
      log.debug("failed to write decision log or demand history", {
        reason: messageOf(error),
      });
    }
  }

  /** Reads the record only if it has changed: at the fleet size expected in two years, reading it in each step would exceed the traffic limit. */
  async function loadRecord(): Promise<VersionedRecord> {
    const followedRevision = options.fleet.get()?.revision ?? 0;
    const storedRevision = options.storedRevision.get() ?? Infinity;
    if (
      cached === undefined || cached.record.revision < followedRevision ||
      // The store was restored, or this entry's watch lags behind its last write.
      storedRevision < cached.record.revision
    ) cached = await regionStore.readRecord();
    return cached;
  }

  /** Writes the next record; the cached copy is cleared first, since it may be outdated after a failure. */
  async function swapRecord(
    stored: VersionedRecord,
    next: FleetRecord,
  ): Promise<boolean> {
    cached = undefined;
    cached = await regionStore.swapRecord(stored, next);
    return cached !== undefined;
  }

  /**
   * Replaces the older record of a restored store with the one that the entries follow. With the restored
   * record, entries would acknowledge drains with revisions from before the restore. If the read was only
   * stale, the swap fails.
   */
  async function replaceRestoredRecord(
    stored: VersionedRecord,
  ): Promise<StepResult> {
    const followed = options.fleet.get() ?? stored.record;
    const newestRevision = Math.max(
      ...options.entries.get().filter((digest) => digest.region === region)
        .map((digest) => digest.fleetRevision),
    );
    if (followed.revision < newestRevision) return { kind: "outdated_record" };
    const next = { ...followed, revision: followed.revision + 1 };
    if (!await swapRecord(stored, next)) return { kind: "conflict" };
    log.warn(
      "store held an older fleet record; replaced it with the followed one",
      { storeRevision: stored.record.revision, revision: next.revision },
    );
    return { kind: "written", revision: next.revision };
  }

  /** Executes the recorded intents; reads the record again before a reboot, as this process may have been paused since. */
  async function executeIntents(record: FleetRecord, vms: readonly Vm[]) {
    if (intents.hasDueReboot(record)) cached = await regionStore.readRecord();
    await intents.run(cached?.record ?? record, vms);
  }

  /** Adds the recorded tasks to the reports, which lag behind; needed only while VMs drain. */
  async function collectWorkerViews(
    record: FleetRecord,
  ): Promise<ReadonlyMap<string, WorkerView>> {
    const views = monitor.views(record);
    const hasDrains = Object.values(record.vms).some((vm) =>
      vm.state === "draining"
    );
    if (!hasDrains) return views;
    let assigned: ReadonlyMap<string, number> | undefined;
    try {
      assigned = await options.readAssignedTasks();
    } catch (error) {
      // Without the recorded tasks no drain completes; all other planning continues.
      log.warn("failed to read recorded tasks; no drain completes", {
        reason: messageOf(error),
      });
    }
    return addAssignedTasks(views, assigned);
  }

  async function planAndWrite(
    applied: AppliedConfig,
    snapshot: VmListSnapshot,
  ): Promise<{ result: StepResult; current: FleetRecord }> {
    const stored = await loadRecord();
    const { record } = stored;
    if (record.revision < (options.fleet.get()?.revision ?? 0)) {
      const result = await replaceRestoredRecord(stored);
      return { result, current: cached?.record ?? record };
    }
    await monitor.refresh(record, snapshot.vms);
    const listedEntries =
      snapshot.vms.filter((vm) => vm.role === "entry" && vm.region === region)
        .length;
    const nowMs = clock.wallMs();
    const plan = planFleet({
      record,
      config: applied.config,
      configRevision: applied.revision,
      vms: snapshot.vms,
      entries: options.entries.get(),
      workers: await collectWorkerViews(record),
      demand: await updateDemand(listedEntries, applied),
      newDrainsBlocked: !monitor.isWarmedUp(),
      wavePauseMs,
      nowMs,
    });
    if (plan.kind === "outdated_config") {
      return { result: plan, current: record };
    }
    if (plan.kind === "unchanged") {
      recordDecisions(refusals.select(plan.refusedLoans, nowMs));
      const { revision } = record;
      return { result: { kind: "unchanged", revision }, current: record };
    }
    if (!await swapRecord(stored, plan.record)) {
      return { result: { kind: "conflict" }, current: record };
    }
    recordDecisions([
      ...plan.decisions,
      ...refusals.select(plan.refusedLoans, nowMs),
    ]);
    const { revision } = plan.record;
    return { result: { kind: "written", revision }, current: plan.record };
  }

  async function step(): Promise<StepResult> {
    const applied = config.get();
    const snapshot = options.vmList.get();
    if (applied === undefined || snapshot === undefined) {
      return { kind: "not_ready" };
    }
    const lease = await options.store.acquireLease(`controller/${region}`, {
      holder,
      ttlMs: LEASE_TTL_MS,
    });
    if (lease.kind === "held") {
      // The lease holder observes the demand; its history is read again after a takeover.
      demand = undefined;
      cached = undefined;
      refusals = createRefusalFilter();
      monitor.reset();
      return { kind: "standby", holder: lease.holder };
    }
    const { result, current } = await planAndWrite(applied, snapshot);
    if (result.kind === "written" || result.kind === "unchanged") {
      await executeIntents(current, snapshot.vms);
    }
    await writeHistory();
    return result;
  }

  return { step };
}

/** Task that plans the region's fleet while it holds the lease, until it is halted. */
export function* runController(options: ControllerOptions): Operation<void> {
  const { log } = options;
  const controller = createController(options);
  let failing = false;
  let wasStandby: boolean | undefined;
  while (true) {
    let intervalMs = PLANNING_INTERVAL_MS;
    try {
      const result = yield* until(controller.step());
      if (failing) log.info("planning step succeeded again");
      failing = false;
      const isStandby = result.kind === "standby";
      if (isStandby) intervalMs = STANDBY_INTERVAL_MS;
      if (isStandby !== wasStandby) {
        log.info(isStandby ? "standing by" : "planning");
      }
      wasStandby = isStandby;
    } catch (error) {
      if (!failing) {
        log.warn("planning step failed", { reason: messageOf(error) });
      }
      failing = true;
    }
    yield* sleep(intervalMs);
  }
}
