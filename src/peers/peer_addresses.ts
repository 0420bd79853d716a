import { ANY_HOST } from "../constants.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { EntryDigest } from "./messages.ts";

/** Sources of peer addresses. */
export interface PeerAddressInput {
  readonly self: { readonly entryId: string; readonly region: string };
  readonly vms: readonly Vm[];
  readonly digests: readonly EntryDigest[];
}

/** Returns a peer's VM in the VM list; undefined if it isn't listed. */
export function findListedPeer(
  vms: readonly Vm[],
  entryId: string,
): Vm | undefined {
  return vms.find((vm) => vm.role === "entry" && vm.id === entryId);
}

/**
 * Returns the peer server addresses (`host:port`) of the region's other entries
 * by entry id. The VM list takes precedence over digests, because an entry may
 * listen on an address that others can't reach.
 */
export function resolvePeerAddresses(
  { self, vms, digests }: PeerAddressInput,
): Map<string, string> {
  const addresses = new Map(
    digests.map((digest) => [digest.entryId, digest.peerAddress]),
  );
  for (const vm of vms) {
    if (vm.role !== "entry" || vm.region !== self.region) continue;
    addresses.set(vm.id, vm.controlAddress);
  }
  addresses.delete(self.entryId);
  return addresses;
}

/**
 * Returns the address (`host:port`) at which others reach a server of this entry.
 * A server that listens on all interfaces is advertised with its address in the
 * VM list, because a peer that called the wildcard address would reach itself.
 */
export function resolveAdvertisedAddress(
  listening: string,
  listed: string | undefined,
): string {
  return listening.startsWith(`${ANY_HOST}:`) ? listed ?? listening : listening;
}
