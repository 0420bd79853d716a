import type { FleetRecord } from "../fleet/record.ts";
import type { Vm } from "../ports/vm_list.ts";

interface Announcement {
  readonly incarnation: string;
  /** `changedAtMs` of the VM in the fleet record when it announced; undefined if it wasn't in the record. */
  readonly changedAtMs: number | undefined;
}

/** VMs whose backend server announced in a response header that it is leaving. */
export class LeavingVms {
  #announced = new Map<string, Announcement>();

  /** Records an announcement; returns whether it is new. */
  add(
    vmId: string,
    incarnation: string,
    record: FleetRecord | undefined,
  ): boolean {
    if (this.#announced.has(vmId)) return false;
    const changedAtMs = record?.vms[vmId]?.changedAtMs;
    this.#announced.set(vmId, { incarnation, changedAtMs });
    return true;
  }

  /** Removes VMs that were replaced, are no longer listed, or returned to service in a later record. */
  removeReturned(record: FleetRecord, vms: readonly Vm[]): void {
    const incarnations = new Map(vms.map((vm) => [vm.id, vm.incarnation]));
    for (const [vmId, { incarnation, changedAtMs }] of this.#announced) {
      const vmRecord = record.vms[vmId];
      const returned = vmRecord?.state === "serving" &&
        vmRecord.changedAtMs !== changedAtMs;
      if (returned || incarnations.get(vmId) !== incarnation) {
        this.#announced.delete(vmId);
      }
    }
  }

  /** Returns the ids of the announced VMs. */
  list(): string[] {
    return [...this.#announced.keys()];
  }
}
