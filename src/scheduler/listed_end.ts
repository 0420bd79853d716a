import type { InstanceEnd } from "./crashes/instance_end.ts";
import type { VmInfo } from "./ports.ts";

/** Maximum time until the VM list reflects an order or a new worker instance, in ms. */
export const MAXIMUM_LIST_LAG_MS = 1_200;

/** Returns how a worker has ended according to its VM's entry in the list; undefined if it may still run. */
export function resolveListedEnd(
  vm: VmInfo | undefined,
  workerId: string,
): InstanceEnd | undefined {
  if (vm === undefined) return "vm_unlisted";
  if (vm.state === "down") return "vm_down";
  return vm.workerId !== undefined && vm.workerId !== workerId
    ? "vm_reassigned"
    : undefined;
}
