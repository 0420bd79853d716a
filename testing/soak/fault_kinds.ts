import {
  type EntryProcesses,
  markDisturbed,
  type SoakEntry,
} from "./entry_processes.ts";
import type { FakeVm } from "./fake_fleet.ts";
import type { SoakPlatform } from "./soak_platform.ts";
import type { SoakRun } from "./soak_run.ts";

/** What a fault acts on. */
export interface FaultContext {
  readonly run: SoakRun;
  readonly platform: SoakPlatform;
  readonly processes: EntryProcesses;
  /** Writes the next version of the configuration. */
  readonly writeConfig: () => void;
  /** Entry of the faults that affect a single one. */
  readonly entry: SoakEntry;
  /** Duration of the fault, in ms. */
  readonly durationMs: number;
  /** Number of the fault in the run, from 1. */
  readonly faultNumber: number;
  /** Schedules the end of the fault, after `durationMs` unless another time is given, in ms. */
  readonly restoreLater: (restore: () => void, afterMs?: number) => void;
}

/** A named kind of fault. */
export interface FaultKind {
  readonly name: string;
  readonly inject: () => void;
}

/**
 * Restarts a worker under its ID and cuts it off from all entries then or soon
 * after. Calls that had no answer are executed late by its next process. If it
 * `isSlow`, its runs outlast the cut.
 */
function restartAndCutOff(
  context: FaultContext,
  vm: FakeVm,
  isSlow: boolean,
): void {
  const { run: { random }, platform: { workers, fleet } } = context;
  const { holdsCalls, unreachable, slow } = workers.faults;
  const { workerId } = vm;
  const crashAfterMs = 100 + random.nextInteger(900);
  const downMs = 200 + random.nextInteger(700);
  const cutAfterMs = random.next() < 0.7 ? 0 : random.nextInteger(2_000);
  // Only long cuts outlast the leases of the earlier process.
  const cutMs = isSlow
    ? 10_000 + random.nextInteger(6_000)
    : 3_000 + random.nextInteger(6_000);
  let restored = false;
  const cutOff = () => {
    if (restored) return;
    unreachable.add(workerId);
    if (isSlow) slow.add(workerId);
  };
  holdsCalls.add(workerId);
  setTimeout(() => {
    if (restored || vm.workerId !== workerId) return;
    fleet.restartWorker(vm, downMs, () => {
      if (cutAfterMs === 0) cutOff();
      else setTimeout(cutOff, cutAfterMs).unref();
      holdsCalls.delete(workerId);
      workers.executeHeldCallsLate(workerId, cutMs);
    });
  }, crashAfterMs).unref();
  context.restoreLater(() => {
    restored = true;
    holdsCalls.delete(workerId);
    unreachable.delete(workerId);
    slow.delete(workerId);
  }, crashAfterMs + downMs + cutAfterMs + cutMs);
}

/** Returns all kinds of faults. A seed repeats its faults only while their order stays the same. */
export function listFaultKinds(context: FaultContext): FaultKind[] {
  const { entry, durationMs, restoreLater, writeConfig } = context;
  const { random } = context.run;
  const { store, workers, fleet, workspaces, workerRelay } = context.platform;
  const { entries } = context.processes;
  const storeFaults = store.faults;
  const restoreEntryLater = (restore: () => void) => {
    markDisturbed(entry);
    restoreLater(() => {
      restore();
      markDisturbed(entry);
    });
  };
  const kinds: [string, () => void][] = [
    ...(workspaces === undefined
      ? []
      : [["withdrawn keys", writeConfig]] as [string, () => void][]),
    ["kill", () => void entry.child?.child.kill("SIGKILL")],
    ["stop", () => void entry.child?.child.kill("SIGTERM")],
    ["pause", () => {
      const { child } = entry;
      child?.child.kill("SIGSTOP");
      entry.paused = true;
      restoreEntryLater(() => {
        child?.child.kill("SIGCONT");
        entry.paused = false;
      });
    }],
    ["kill all", () => {
      for (const eachEntry of entries) {
        markDisturbed(eachEntry);
        eachEntry.child?.child.kill("SIGKILL");
      }
    }],
    ["reset store link", () => {
      entry.storeRelay.disconnect();
      restoreEntryLater(() => entry.storeRelay.restore());
    }],
    ["pause store link", () => {
      entry.storeRelay.pause();
      restoreEntryLater(() => entry.storeRelay.restore());
    }],
    ["pause store link one way", () => {
      entry.storeRelay.pauseOneWay(
        random.next() < 0.5 ? "to_target" : "to_client",
      );
      restoreEntryLater(() => entry.storeRelay.restore());
    }],
    ["slow store link", () => {
      entry.storeRelay.setDelay(20 + random.nextInteger(150));
      restoreEntryLater(() => entry.storeRelay.restore());
    }],
    ["stall store connections", () => {
      markDisturbed(entry);
      entry.storeRelay.stallOpenConnections();
    }],
    ["store refuses entry", () => {
      storeFaults.refusedClients.add(entry.id);
      restoreEntryLater(() => void storeFaults.refusedClients.delete(entry.id));
    }],
    ["store down", () => {
      storeFaults.down = true;
      entries.forEach(markDisturbed);
      if (random.next() < 0.4) setTimeout(() => store.expireAllLeases(), 150);
      restoreLater(() => {
        storeFaults.down = false;
        entries.forEach(markDisturbed);
      });
    }],
    ["store loses responses", () => {
      storeFaults.lostAnswerRate = 0.3;
      entries.forEach(markDisturbed);
      restoreLater(() => storeFaults.lostAnswerRate = 0);
    }],
    ["store applies writes late", () => {
      storeFaults.lateChangeRate = 0.2;
      entries.forEach(markDisturbed);
      restoreLater(() => storeFaults.lateChangeRate = 0);
    }],
    ["store compacts its history", () => store.compactHistory()],
    ["stall worker connections", () => workerRelay.stallOpenConnections()],
    ["reset worker links", () => {
      workerRelay.disconnect();
      restoreLater(() => workerRelay.restore());
    }],
    ["orders are carried out late, others are refused", () => {
      workers.faults.lateOrderRate = 0.15;
      workers.faults.unhealthyRate = 0.3;
      restoreLater(() => {
        workers.faults.lateOrderRate = 0;
        workers.faults.unhealthyRate = 0;
      });
    }],
    ["tasks fail", () => {
      workers.faults.failedRunRate = 0.3;
      restoreLater(() => workers.faults.failedRunRate = 0);
    }],
    ["worker crashes", () => {
      const vms = [...fleet.vms.values()];
      fleet.crash(vms[random.nextInteger(vms.length)]!, durationMs);
    }],
    ["worker capacity changes", () => {
      const vms = [...fleet.vms.values()];
      const vm = vms[random.nextInteger(vms.length)]!;
      fleet.resize(vm, random.nextInteger(3) * 1_500);
      restoreLater(() => fleet.resize(vm, 8_000));
    }],
    ["configuration changes", writeConfig],
    ["maintenance wave", () => {
      const wave = context.faultNumber + 1;
      store.write(
        `op/wave/${wave}`,
        JSON.stringify({
          wave,
          machines: [...fleet.vms.keys()].filter(() => random.next() < 0.4),
          "deadline-s": 12,
          "upper-bound": 2,
        }),
      );
    }],
    ["worker VM is paused", () => {
      const vms = [...fleet.vms.values()];
      const { workerId } = vms[random.nextInteger(vms.length)]!;
      workers.faults.paused.add(workerId);
      restoreLater(() => void workers.faults.paused.delete(workerId));
    }],
    ["unreadable records, VMs and runs", () => {
      const vms = [...fleet.vms.values()];
      const { vmId, workerId } = vms[random.nextInteger(vms.length)]!;
      store.write(`servers/unreadable-${context.faultNumber}`, "{");
      store.write(`op/wave/${10_000 + context.faultNumber}`, "[]");
      fleet.unreadableVms.add(vmId);
      workers.faults.unreadable.add(workerId);
      restoreLater(() => {
        fleet.unreadableVms.delete(vmId);
        workers.faults.unreadable.delete(workerId);
      });
    }],
    ["workers restart under their IDs and are cut off", () => {
      const { holdsCalls, unreachable } = workers.faults;
      // Tasks that are lost with several workers count as the cause of the crashes.
      if (holdsCalls.size + unreachable.size > 0) return;
      const areSlow = random.next() < 0.5;
      for (const vm of fleet.vms.values()) {
        if (vm.state !== "up" || vm.workerId === "") continue;
        if (random.next() < 0.4) restartAndCutOff(context, vm, areSlow);
      }
    }],
  ];
  return kinds.map(([name, inject]) => ({ name, inject }));
}
