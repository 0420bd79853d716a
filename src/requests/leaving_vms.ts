import type { FleetRecord } from "../fleet/record.ts";
import type { Vm } from "../ports/vm_list.ts";

interface Announcement {
  readonly incarnation: string;
  /** Change time of the VM's record when it announced that it leaves. */
  readonly changedAtMs: number | undefined;
}

/** VMs that announced in a response header that they are leaving. */
export class LeavingVms {
  #announced = new Map<string, Announcement>();

  /** Returns whether the announcement is new. */
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

  /** Forgets VMs that were replaced, are gone, or went back to service by a later record. */
  removeReturned(record: FleetRecord, vms: readonly Vm[]): void {
    const incarnations = new Map(vms.map((vm) => [vm.id, vm.incarnation]));
    for (const [vmId, { incarnation, changedAtMs }] of this.#announced) {
      const entry = record.vms[vmId];
      const returned = entry?.state === "serving" &&
        entry.changedAtMs !== changedAtMs;
      if (returned || incarnations.get(vmId) !== incarnation) {
        this.#announced.delete(vmId);
      }
    }
  }

  list(): string[] {
    return [...this.#announced.keys()];
  }
}
