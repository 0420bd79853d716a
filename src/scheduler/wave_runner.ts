import type { Operation } from "effection";
import { z } from "zod";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import type { Journal } from "./journal.ts";
import { getStep, type TaskState } from "./job_state.ts";
import { parseRecord, STORE_KEYS } from "./ownership.ts";
import type {
  PlatformRecordCodec,
  RecordStore,
  VmInfo,
  WaveRequest,
} from "./ports.ts";
import { retryStoreRead } from "./retry_store_read.ts";
import type { Scheduler } from "./scheduler.ts";
import type { VmStates } from "./vm_states.ts";
import { planWave, type WaveVm } from "./wave_plan.ts";

const waveRecordSchema = z.object({
  /** When an owner first read the wave request, in ms since 1970. */
  seenAtMs: z.number(),
  /** IDs of the VMs whose maintenance was confirmed. */
  done: z.array(z.string()),
  completed: z.boolean(),
});
type WaveRecord = z.infer<typeof waveRecordSchema>;

/** Carries out maintenance waves within the disruption budgets of long-running steps. */
export interface WaveRunner {
  /** Loads the wave records of earlier owners. */
  load(store: RecordStore): Operation<void>;
  /** Advances the requested waves by one round, and uncordons the VMs of withdrawn ones. */
  advanceAll(requests: ReadonlyMap<number, WaveRequest>): void;
  /** Whether a requested wave is in progress. */
  isActive(): boolean;
  /** Returns the wave records for the `/dump` endpoint, by wave number. */
  describe(): unknown;
}

/** Creates the wave runner for one tenure. */
export function createWaveRunner(options: {
  readonly vmStates: VmStates;
  readonly scheduler: Scheduler;
  readonly journal: Journal;
  readonly records: PlatformRecordCodec;
  readonly clock: Clock;
  readonly log: Logger;
}): WaveRunner {
  const { vmStates, scheduler, journal, records, clock, log } = options;
  const waveRecords = new Map<number, WaveRecord>();
  /** Monotonic time at which this owner first read that a wave names a VM, in ms, by wave and VM ID. */
  const requestedAtMs = new Map<number, Map<string, number>>();
  let requestedWaves: ReadonlyMap<number, WaveRequest> = new Map();

  function isWithinBudgets(
    vmId: string,
    tasks: readonly TaskState[],
  ): boolean {
    return scheduler.disruptions.mayEnd(tasks, `maintenance of ${vmId}`);
  }

  /**
   * Stops at most one long-running task on a VM that runs more tasks of one step
   * than the step's budget; the budget still has to allow the stop.
   */
  function relocateSiblingTask(tasks: readonly TaskState[]): void {
    for (const task of tasks) {
      const { mayMiss } = getStep(task);
      if (mayMiss === undefined || task.placement?.stopReason !== undefined) {
        continue;
      }
      const siblings = tasks.filter((other) =>
        other.job === task.job && other.stepIndex === task.stepIndex
      ).length;
      if (
        siblings > mayMiss && mayMiss > 0 &&
        scheduler.stop(task, "VM maintenance")
      ) {
        return;
      }
    }
  }

  function describeWaveVm(vm: VmInfo, nowMs: number): WaveVm {
    const tasks = vmStates.listTasks(vm.vmId);
    const cordonedAtMs = vmStates.cordonedForMaintenance.get(vm.vmId);
    return {
      vmId: vm.vmId,
      orderable: vmStates.isOrderable(vm),
      cordoned: cordonedAtMs !== undefined,
      cordonedMs: cordonedAtMs === undefined ? 0 : nowMs - cordonedAtMs,
      batchTasks: tasks.filter((task) => !getStep(task).longRunning).length,
      withinBudgets: isWithinBudgets(vm.vmId, tasks),
    };
  }

  function saveWave(wave: number, record: WaveRecord): void {
    const key = STORE_KEYS.wavePrefix + wave;
    journal.put({ key, encode: () => JSON.stringify(record) });
    const status = records.waveStatus(
      wave,
      record.completed ? "completed" : "running",
    );
    // A wave reported as completed must not be continued by the next owner.
    journal.put({
      key: status.key,
      after: key,
      encode: () => status.value,
    });
  }

  /** Whether a VM of the wave left before its maintenance. A list that is older than the request doesn't show a VM that was added in between. */
  function hasLeft(wave: number, vmId: string): boolean {
    const atMs = requestedAtMs.get(wave)?.get(vmId);
    return atMs !== undefined && vmStates.hasLeft(vmId, atMs);
  }

  function recordRequest({ wave, vmIds }: WaveRequest): void {
    const times = requestedAtMs.get(wave) ?? new Map<string, number>();
    requestedAtMs.set(wave, times);
    for (const vmId of vmIds) {
      if (!times.has(vmId)) times.set(vmId, clock.monotonicMs());
    }
  }

  function advance(request: WaveRequest): void {
    const { wave } = request;
    recordRequest(request);
    let record = waveRecords.get(wave);
    if (record === undefined) {
      record = { seenAtMs: clock.wallMs(), done: [], completed: false };
      waveRecords.set(wave, record);
      log.info("maintenance wave started", {
        wave,
        vms: request.vmIds.length,
        maximumDown: request.maximumDown,
        deadlineMs: request.deadlineMs,
      });
      saveWave(wave, record);
    }
    if (record.completed || vmStates.list().size === 0) return;
    const nowMs = clock.monotonicMs();
    const pendingVmIds = request.vmIds.filter((vmId) =>
      !record.done.includes(vmId)
    );
    const listedVms = pendingVmIds.flatMap((vmId) =>
      vmStates.list().get(vmId) ?? []
    );
    if (
      pendingVmIds.every((vmId) =>
        hasLeft(wave, vmId) && !vmStates.orders.active.has(vmId)
      )
    ) {
      record.completed = true;
      log.info("maintenance wave completed", {
        wave,
        done: record.done.length,
      });
      saveWave(wave, record);
      return;
    }
    const isOrderedEarlier = (vmId: string) =>
      !record.done.includes(vmId) &&
      vmStates.orders.earlierMaintenance(vmId) === wave;
    const down = request.vmIds.filter((vmId) =>
      isOrderedEarlier(vmId) ||
      vmStates.orders.active.get(vmId)?.kind === "maintain" ||
      vmStates.returning.get(vmId)?.wave !== undefined ||
      vmStates.hasEarlierOrder(vmId) ||
      vmStates.list().get(vmId)?.state === "maintenance"
    ).length;
    const waveVms = listedVms.map((vm) => describeWaveVm(vm, nowMs));
    const actions = planWave(waveVms, {
      down,
      maximumDown: request.maximumDown,
      timeLeftMs: record.seenAtMs + request.deadlineMs - clock.wallMs(),
    });
    for (const vmId of actions.cordon) {
      vmStates.cordonedForMaintenance.set(vmId, nowMs);
      log.info("VM cordoned for maintenance", {
        vm: vmId,
        wave,
      });
    }
    for (const vm of waveVms) {
      if (!vm.cordoned || vm.withinBudgets || vm.batchTasks > 0) continue;
      relocateSiblingTask(vmStates.listTasks(vm.vmId));
    }
    // An order of an earlier owner may be carried out at any time; this owner's order for the same VM replaces it.
    const takenOver = waveVms.filter(({ vmId, orderable }) =>
      orderable && isOrderedEarlier(vmId)
    ).map(({ vmId }) => vmId);
    for (const vmId of new Set([...takenOver, ...actions.maintain])) {
      // The orders sent earlier in this round already count towards the budgets.
      if (!isWithinBudgets(vmId, vmStates.listTasks(vmId))) continue;
      vmStates.cordonedForMaintenance.set(
        vmId,
        vmStates.cordonedForMaintenance.get(vmId) ?? nowMs,
      );
      vmStates.sendOrder(vmId, { kind: "maintain", wave }, () => {
        record.done.push(vmId);
        saveWave(wave, record);
      });
    }
  }

  function uncordonWithdrawn(): void {
    const requests = [...requestedWaves.values()];
    for (const vmId of [...vmStates.cordonedForMaintenance.keys()]) {
      if (
        vmStates.isUnavailable(vmId) ||
        requests.some(({ vmIds }) => vmIds.includes(vmId))
      ) continue;
      vmStates.cordonedForMaintenance.delete(vmId);
    }
  }

  return {
    *load(store) {
      const waves = yield* retryStoreRead(
        () => store.list(STORE_KEYS.wavePrefix),
        log,
      );
      for (const item of waves.items) {
        const { key } = item;
        const record = parseRecord(waveRecordSchema, item);
        const wave = Number(key.slice(STORE_KEYS.wavePrefix.length));
        if (record !== undefined) waveRecords.set(wave, record);
        else log.error("invalid stored wave record ignored", { key });
      }
    },
    advanceAll(requests) {
      requestedWaves = requests;
      for (const wave of [...requestedAtMs.keys()]) {
        if (!requests.has(wave)) requestedAtMs.delete(wave);
      }
      uncordonWithdrawn();
      for (const request of requests.values()) advance(request);
    },
    isActive: () =>
      [...requestedWaves.keys()].some((wave) =>
        waveRecords.get(wave)?.completed === false
      ),
    describe: () => Object.fromEntries(waveRecords),
  };
}
