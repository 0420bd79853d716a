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

/** Time between planning steps, in ms. */
const PLANNING_INTERVAL_MS = 1_000;
/**
 * Time between two attempts of an entry that stands by, in ms. Together with
 * the lease it bounds the time without a controller: 6 s.
 */
const STANDBY_INTERVAL_MS = 2_000;
/** Time to live of the controller lease, in ms. */
const LEASE_TTL_MS = 4_000;
/** Time between two writes of the demand history, in ms. */
const DEMAND_WRITE_INTERVAL_MS = 300_000;

/** What the controller works with. */
export interface ControllerOptions {
  readonly holder: string;
  readonly region: string;
  readonly store: Store;
  readonly config: Observable<AppliedConfig | undefined>;
  /** The followed record; its revision tells when the controller's copy has to be read again. */
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  /** Digests of the region's live entries, this one included. */
  readonly entries: Observable<readonly EntryDigest[]>;
  readonly workerAgent: WorkerAgent;
  /** Tasks that are recorded as started on each VM, also those that no report shows yet; rejects with a `StoreError` or a `ValidationError`. */
  readonly readAssignedTasks: () => Promise<ReadonlyMap<string, number>>;
  readonly timing: ResolvedSettings["controller"];
  readonly clock: Clock;
  readonly log: Logger;
}

/** What one step of a controller did. */
export type StepResult =
  | { readonly kind: "not_ready" }
  | { readonly kind: "standby"; readonly holder: string }
  | { readonly kind: "outdated_config" }
  /** A peer follows a newer record than both the store and this entry. */
  | { readonly kind: "outdated_record" }
  | { readonly kind: "conflict" }
  | { readonly kind: "unchanged" | "written"; readonly revision: number };

/** A controller whose steps are called one after another. */
export interface Controller {
  /** Plans once; rejects with a `StoreError` or a `ValidationError`. */
  step(): Promise<StepResult>;
}

/** Creates a controller; all of its memory can be lost without harm. */
export function createController(options: ControllerOptions): Controller {
  const { holder, region, config, clock, log, workerAgent, timing } = options;
  const { unreachableAfterMs, wavePauseMs } = timing;
  const controllerStore = createControllerStore(options.store, region);
  const monitor = createWorkerMonitor(workerAgent, {
    clock,
    unreachableAfterMs,
  });
  const intents = createIntentRunner({ workerAgent, monitor, clock, log });
  /** The record as last read or written; dropped whenever it may be outdated. */
  let cachedRecord: VersionedRecord | undefined;
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
    demand = observeDemand(demand ?? await controllerStore.readDemand(), {
      config: applied.config,
      region,
      entries: options.entries.get(),
      listedEntries,
      nowMs: clock.wallMs(),
    });
    return demand;
  }

  /** Logs and history only inform; a failure to write them must not hold up the fleet. */
  async function writeHistory(): Promise<void> {
    const nowMs = clock.monotonicMs();
    try {
      if (unwrittenDecisions.length > 0) {
        await controllerStore.appendLog(unwrittenDecisions);
        unwrittenDecisions = [];
      }
      if (
        demand !== undefined &&
        nowMs - demandWrittenAtMs >= DEMAND_WRITE_INTERVAL_MS
      ) {
        demandWrittenAtMs = nowMs;
        await controllerStore.writeDemand(demand);
      }
    } catch (error) {
      log.debug("history not written", { reason: messageOf(error) });
    }
  }

  /** Reads the record only when it changed: at the two-year size, reading it in each step would exceed the traffic limit. */
  async function loadRecord(): Promise<VersionedRecord> {
    const followedRevision = options.fleet.get()?.revision ?? 0;
    if (
      cachedRecord === undefined ||
      cachedRecord.record.revision < followedRevision
    ) {
      cachedRecord = await controllerStore.readRecord();
    }
    return cachedRecord;
  }

  /** Swaps the record; the copy is dropped first, since after a failure it may be outdated. */
  async function swapRecord(
    read: VersionedRecord,
    next: FleetRecord,
  ): Promise<boolean> {
    cachedRecord = undefined;
    cachedRecord = await controllerStore.swapRecord(read, next);
    return cachedRecord !== undefined;
  }

  /**
   * Replaces a record that the store was restored to by the one that the entries follow. With the
   * restored one, entries would acknowledge drains by revisions from before the restore. If the read
   * was only stale, the swap fails.
   */
  async function replaceRestoredRecord(
    read: VersionedRecord,
  ): Promise<StepResult> {
    const followed = options.fleet.get() ?? read.record;
    const newestRevision = Math.max(
      ...options.entries.get().filter((digest) => digest.region === region)
        .map((digest) => digest.fleetRevision),
    );
    if (followed.revision < newestRevision) return { kind: "outdated_record" };
    const next = { ...followed, revision: followed.revision + 1 };
    if (!await swapRecord(read, next)) return { kind: "conflict" };
    log.warn("store held an older fleet record; the followed one is written", {
      storeRevision: read.record.revision,
      revision: next.revision,
    });
    return { kind: "written", revision: next.revision };
  }

  /** A paused controller reads the record again before it has a VM rebooted. */
  async function executeIntents(record: FleetRecord, vms: readonly Vm[]) {
    if (intents.hasDueReboot(record)) {
      cachedRecord = await controllerStore.readRecord();
    }
    await intents.run(cachedRecord?.record ?? record, vms);
  }

  /** Adds the recorded tasks to the reports, which lag; needed only while VMs drain. */
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
      // Without the recorded tasks no drain is complete; all other planning goes on.
      log.warn("recorded tasks not read; drains wait", {
        reason: messageOf(error),
      });
    }
    return addAssignedTasks(views, assigned);
  }

  async function planAndSwap(
    applied: AppliedConfig,
    snapshot: VmListSnapshot,
  ): Promise<{ result: StepResult; current: FleetRecord }> {
    const read = await loadRecord();
    const { record } = read;
    if (record.revision < (options.fleet.get()?.revision ?? 0)) {
      const result = await replaceRestoredRecord(read);
      return { result, current: cachedRecord?.record ?? record };
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
      newDrainsBlocked: !monitor.isSettled(),
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
    if (!await swapRecord(read, plan.record)) {
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
      // Another controller observes the demand now; its history is read again on a takeover.
      demand = undefined;
      cachedRecord = undefined;
      refusals = createRefusalFilter();
      monitor.reset();
      return { kind: "standby", holder: lease.holder };
    }
    const { result, current } = await planAndSwap(applied, snapshot);
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
  let standby: boolean | undefined;
  while (true) {
    let intervalMs = PLANNING_INTERVAL_MS;
    try {
      const result = yield* until(controller.step());
      if (failing) log.info("planning again");
      failing = false;
      const isStandby = result.kind === "standby";
      if (isStandby) intervalMs = STANDBY_INTERVAL_MS;
      if (isStandby !== standby) {
        log.info(isStandby ? "standing by" : "planning");
      }
      standby = isStandby;
    } catch (error) {
      if (!failing) {
        log.warn("planning step failed", { reason: messageOf(error) });
      }
      failing = true;
    }
    yield* sleep(intervalMs);
  }
}
