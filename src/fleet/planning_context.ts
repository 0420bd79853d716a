import type { PoolConfig, ResolvedConfig } from "../config/schema.ts";
import type { EntryDigest } from "../peers/messages.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { Decision } from "./decision_log.ts";
import type { DemandState } from "./demand.ts";
import type { FleetRecord, Transition, VmRecord } from "./record.ts";

/** What the controller knows about a worker from its agent. */
export interface WorkerView {
  /** False once the agent has not responded for `controller.unreachableAfterMs`. */
  readonly reachable: boolean;
  /** Whether the agent responded to the last request. */
  readonly responding: boolean;
  readonly lastRebootIntentId: string | undefined;
  /** Number of running tasks; undefined while unknown. */
  readonly runningTasks: number | undefined;
}

/** Input of a planning step. */
export interface PlanInput {
  readonly record: FleetRecord;
  readonly config: ResolvedConfig;
  readonly configRevision: number;
  readonly vms: readonly Vm[];
  /** Digests of the region's live entries. */
  readonly entries: readonly EntryDigest[];
  /** Workers that the controller has queried, by VM ID. */
  readonly workers: ReadonlyMap<string, WorkerView>;
  readonly demand: DemandState;
  /** Set until the controller has monitored the workers long enough to detect unreachable ones. */
  readonly newDrainsBlocked: boolean;
  /** Minimum pause of the waves after correlated failures, in ms. */
  readonly wavePauseMs: number;
  /** Wall-clock time, in ms. */
  readonly nowMs: number;
}

/** The input with the values that the decisions of a step derive from it. */
export interface PlanningContext extends PlanInput {
  /** Pools of the region by name. */
  readonly pools: ReadonlyMap<string, PoolConfig>;
  /** VMs of the region in the VM list, by ID. */
  readonly listed: ReadonlyMap<string, Vm>;
  /** VMs whose agent has not responded for `controller.unreachableAfterMs`. */
  readonly unreachable: ReadonlySet<string>;
  /** Digests of the region's live entries, by entry ID. */
  readonly digests: ReadonlyMap<string, EntryDigest>;
  /** Entries whose acknowledgement a drain needs: every one that the VM list or a digest shows. */
  readonly entryIds: ReadonlySet<string>;
  /** Revision of the record that the step writes. */
  readonly nextRevision: number;
}

/** A decision before the step adds time, revision and teams. */
export type DecisionDraft = Omit<Decision, "atMs" | "fleetRevision" | "teams">;

/** Change of one VM; `next` is its new record, or undefined to remove it. */
export interface VmChange {
  readonly vmId: string;
  readonly next: VmRecord | undefined;
  /** Absent for changes that continue an earlier decision. */
  readonly decision?: DecisionDraft;
}

/** VMs of the record after the decisions so far. */
export type VmRecords = Readonly<Record<string, VmRecord>>;

/** Derives the context of a planning step. */
export function createPlanningContext(input: PlanInput): PlanningContext {
  const { record, config, vms, entries, workers } = input;
  const unreachable = new Set<string>();
  for (const [vmId, worker] of workers) {
    if (!worker.reachable) unreachable.add(vmId);
  }
  const listed = new Map(
    vms.filter((vm) => vm.region === record.region).map((vm) => [vm.id, vm]),
  );
  const digests = new Map(
    entries.filter((digest) => digest.region === record.region)
      .map((digest) => [digest.entryId, digest]),
  );
  const entryIds = new Set(digests.keys());
  for (const vm of listed.values()) {
    if (vm.role === "entry") entryIds.add(vm.id);
  }
  return {
    ...input,
    pools: new Map(
      config.pools.filter((pool) => pool.region === record.region)
        .map((pool) => [pool.name, pool]),
    ),
    listed,
    unreachable,
    digests,
    entryIds,
    nextRevision: record.revision + 1,
  };
}

/** Parameters of a drain. */
export interface DrainRequest {
  readonly vmId: string;
  readonly kind: Transition["kind"];
  readonly reason: string;
  readonly targetPool?: string;
}

/** Returns the VM with a drain that starts in this step. */
export function startDrain(
  vm: VmRecord,
  request: DrainRequest,
  context: PlanningContext,
): VmRecord {
  const { nowMs, nextRevision } = context;
  return {
    ...vm,
    state: "draining",
    changedAtMs: nowMs,
    transition: {
      // Only one write of a revision succeeds, so revision, time and VM identify the intent.
      intentId: `${nextRevision}-${nowMs}-${request.vmId}`,
      kind: request.kind,
      reason: request.reason,
      startedAtMs: nowMs,
      fleetRevision: nextRevision,
      targetPool: request.targetPool,
    },
  };
}

/** Returns the VM serving in a pool, without a transition. */
export function markServing(
  vm: VmRecord,
  options: { pool?: string; nowMs: number },
): VmRecord {
  const pool = options.pool ?? vm.pool;
  const { transition: _, lentAtMs, ...rest } = vm;
  const isLent = pool !== vm.homePool;
  const startsLoan = lentAtMs === undefined || pool !== vm.pool;
  return {
    ...rest,
    pool,
    state: "serving",
    changedAtMs: options.nowMs,
    ...(isLent ? { lentAtMs: startsLoan ? options.nowMs : lentAtMs } : {}),
  };
}
