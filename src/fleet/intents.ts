import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { WorkerAgent } from "../ports/worker_agent.ts";
import type { FleetRecord, VmRecord } from "./record.ts";
import type { WorkerMonitor } from "./worker_monitor.ts";

/** Time after which a command without a visible effect is sent again, in ms. */
const COMMAND_RETRY_MS = 10_000;

/** Options of `createIntentRunner`. */
export interface IntentRunnerOptions {
  readonly workerAgent: WorkerAgent;
  readonly monitor: WorkerMonitor;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Executes the intents of a record; every command is idempotent, so those of an earlier controller are simply repeated. */
export interface IntentRunner {
  /** Sends the commands that are due; a failed command is logged and sent again later. */
  run(record: FleetRecord, vms: readonly Vm[]): Promise<void>;
  /** Whether the record holds a reboot that was not requested recently. */
  hasDueReboot(record: FleetRecord): boolean;
}

/** Creates a runner that tracks when it sent each command. */
export function createIntentRunner(options: IntentRunnerOptions): IntentRunner {
  const { workerAgent, monitor, clock, log } = options;
  const sentAtMs = new Map<string, number>();

  function mayReboot(vmId: string, vm: VmRecord): boolean {
    const report = monitor.getReport(vmId);
    if (vm.state !== "rebooting" || report === undefined) return false;
    // A VM that was replaced meanwhile must not be rebooted for its previous incarnation.
    return report.incarnation === vm.incarnation &&
      report.lastRebootIntentId !== vm.transition?.intentId;
  }

  function isDue(vm: VmRecord): boolean {
    const command = `${vm.state}/${vm.transition?.intentId}`;
    const sinceMs = clock.monotonicMs() - (sentAtMs.get(command) ?? -Infinity);
    return sinceMs >= COMMAND_RETRY_MS;
  }

  async function reboot(address: string, intentId: string): Promise<void> {
    // The worker is drained only now, because a backend server that has announced its stop serves again only after a reboot.
    await workerAgent.drain(address, intentId);
    await workerAgent.reboot(address, intentId);
    log.info("reboot requested", { intentId });
  }

  async function checkpointTasks(vmId: string, address: string) {
    for (const task of monitor.getReport(vmId)?.tasks ?? []) {
      if (task.state !== "running") continue;
      await workerAgent.checkpointTask(address, task.taskId);
    }
  }

  async function executeIntent(vmId: string, vm: VmRecord, address: string) {
    const intentId = vm.transition?.intentId;
    if (intentId === undefined) return;
    const isDraining = vm.state === "draining";
    if (!isDraining && !mayReboot(vmId, vm)) return;
    if (!isDue(vm)) return;
    sentAtMs.set(`${vm.state}/${intentId}`, clock.monotonicMs());
    try {
      if (isDraining) await checkpointTasks(vmId, address);
      else await reboot(address, intentId);
    } catch (error) {
      log.warn("worker command failed; it will be sent again", {
        vmId,
        intentId,
        reason: messageOf(error),
      });
    }
  }

  function pruneSentCommands(record: FleetRecord): void {
    const current = new Set<string>();
    for (const vm of Object.values(record.vms)) {
      if (vm.transition !== undefined) {
        current.add(`${vm.state}/${vm.transition.intentId}`);
      }
    }
    for (const command of sentAtMs.keys()) {
      if (!current.has(command)) sentAtMs.delete(command);
    }
  }

  return {
    hasDueReboot: (record) =>
      Object.entries(record.vms).some(([vmId, vm]) =>
        mayReboot(vmId, vm) && isDue(vm)
      ),
    async run(record, vms) {
      pruneSentCommands(record);
      const addresses = new Map(vms.map((vm) => [vm.id, vm.controlAddress]));
      await Promise.all(
        Object.entries(record.vms).map(([vmId, vm]) => {
          const address = addresses.get(vmId);
          return address === undefined
            ? undefined
            : executeIntent(vmId, vm, address);
        }),
      );
    },
  };
}
