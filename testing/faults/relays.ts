import type { Vm } from "../../src/ports/vm_list.ts";
import { startTcpRelay, type TcpRelay } from "../tcp_relay.ts";

/** TCP relays in front of the addresses in the VM list. */
export interface Relays {
  /** Relays in front of backend servers and of entries' peer addresses, by VM id. */
  readonly byVm: ReadonlyMap<string, TcpRelay>;
  /** Starts the relay of a VM and returns the VM with the relay's address; passed as `adjustVm` to a deployment. */
  readonly adjustVm: (vm: Vm) => Promise<Vm>;
  close(): Promise<void>;
}

/** Creates relays for all entries and for the workers that `isRelayed` selects. */
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
