import type { PoolConfig, ResolvedConfig } from "../config/schema.ts";
import type { EntryDigest } from "../peers/messages.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { Decision } from "./decision_log.ts";
import type { DemandState } from "./demand.ts";
import type { FleetRecord, Transition, VmRecord } from "./record.ts";

/** What the controller knows from a worker's agent. */
export interface WorkerView {
  /** False once the agent has not answered for `controller.unreachableAfterMs`. */
  readonly reachable: boolean;
  /** Whether the last request was answered. */
  readonly responding: boolean;
  readonly lastRebootIntentId: string | undefined;
  /** Tasks that still run; undefined while unknown. */
  readonly runningTasks: number | undefined;
}

/** What one planning step works on. */
export interface PlanInput {
  readonly record: FleetRecord;
  readonly config: ResolvedConfig;
  readonly configRevision: number;
  readonly vms: readonly Vm[];
  /** Digests of the region's live entries. */
  readonly entries: readonly EntryDigest[];
  readonly workers: ReadonlyMap<string, WorkerView>;
  readonly demand: DemandState;
  /** Set while the controller has watched the workers for less than the time that shows an unreachable one. */
  readonly newDrainsBlocked: boolean;
  /** Shortest pause of the waves after correlated failures, in ms. */
  readonly wavePauseMs: number;
  /** Wall-clock time, in ms. */
  readonly nowMs: number;
}

/** The input together with what every decision of the step derives from it. */
export interface PlanningContext extends PlanInput {
  /** Pools of the region by name. */
  readonly pools: ReadonlyMap<string, PoolConfig>;
  readonly listed: ReadonlyMap<string, Vm>;
  /** VMs whose agent has not answered for `controller.unreachableAfterMs`. */
  readonly unreachable: ReadonlySet<string>;
  readonly digests: ReadonlyMap<string, EntryDigest>;
  /** Entries whose acknowledgement a drain needs: every one that the VM list or a digest shows. */
  readonly entryIds: ReadonlySet<string>;
  /** Revision that the step's write gets. */
  readonly nextRevision: number;
}

/** A decision before the step adds time, revision and teams. */
export type DecisionDraft = Omit<Decision, "atMs" | "fleetRevision" | "teams">;

/** A new value of one VM; undefined removes it from the record. */
export interface VmChange {
  readonly vmId: string;
  readonly next: VmRecord | undefined;
  /** Absent for steps that carry on an earlier decision. */
  readonly decision?: DecisionDraft;
}

/** VMs of the record as the decisions so far leave them. */
export type Vms = Readonly<Record<string, VmRecord>>;

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

/** What a drain is started for. */
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
      // One write wins each revision, so revision, time and VM name the intent.
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
export function settle(
  vm: VmRecord,
  options: { pool?: string; nowMs: number },
): VmRecord {
  const pool = options.pool ?? vm.pool;
  const { transition: _, lentAtMs, ...rest } = vm;
  const lent = pool !== vm.homePool;
  const begins = lentAtMs === undefined || pool !== vm.pool;
  return {
    ...rest,
    pool,
    state: "serving",
    changedAtMs: options.nowMs,
    ...(lent ? { lentAtMs: begins ? options.nowMs : lentAtMs } : {}),
  };
}
