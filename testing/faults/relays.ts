import type { Vm } from "../../src/ports/vm_list.ts";
import { startTcpRelay, type TcpRelay } from "../tcp_relay.ts";

/** Relays in front of the addresses that the VM list shows. */
export interface Relays {
  /** Relay in front of a worker's backend server or an entry's peer link, by VM id. */
  readonly byVm: ReadonlyMap<string, TcpRelay>;
  /** For `adjustVm` of a deployment. */
  readonly adjustVm: (vm: Vm) => Promise<Vm>;
  close(): Promise<void>;
}

/** Creates relays for entries and for the workers for which `wanted` holds. */
export function createRelays(isRelayed: (workerId: string) => boolean): Relays {
  const byVm = new Map<string, TcpRelay>();
  const relays: TcpRelay[] = [];

  async function startRelay(id: string, target: string): Promise<string> {
    const relay = await startTcpRelay(target);
    relays.push(relay);
    byVm.set(id, relay);
    return relay.address;
  }

  return {
    byVm,
    async adjustVm(vm) {
      if (vm.role === "entry") {
        return {
          ...vm,
          controlAddress: await startRelay(vm.id, vm.controlAddress),
        };
      }
      return isRelayed(vm.id)
        ? { ...vm, address: await startRelay(vm.id, vm.address) }
        : vm;
    },
    async close() {
      await Promise.all(relays.map((relay) => relay.close()));
    },
  };
}
