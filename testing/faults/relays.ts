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
export function createRelays(wanted: (workerId: string) => boolean): Relays {
  const byVm = new Map<string, TcpRelay>();
  const all: TcpRelay[] = [];

  async function relayTo(id: string, target: string): Promise<string> {
    const relay = await startTcpRelay(target);
    all.push(relay);
    byVm.set(id, relay);
    return relay.address;
  }

  return {
    byVm,
    async adjustVm(vm) {
      if (vm.role === "entry") {
        return {
          ...vm,
          controlAddress: await relayTo(vm.id, vm.controlAddress),
        };
      }
      return wanted(vm.id)
        ? { ...vm, address: await relayTo(vm.id, vm.address) }
        : vm;
    },
    async close() {
      await Promise.all(all.map((relay) => relay.close()));
    },
  };
}
