import { ANY_HOST } from "../constants.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { EntryDigest } from "./messages.ts";

/** What the addresses of peers are taken from. */
export interface PeerAddressInput {
  readonly self: { readonly entryId: string; readonly region: string };
  readonly vms: readonly Vm[];
  readonly digests: readonly EntryDigest[];
}

/** Returns the peer's item in the VM list, if there is one. */
export function findListedPeer(
  vms: readonly Vm[],
  entryId: string,
): Vm | undefined {
  return vms.find((vm) => vm.role === "entry" && vm.id === entryId);
}

/**
 * Returns `host:port` of the region's other entries by entry id. The VM list's
 * address comes before a digest's, because an entry may listen on an address
 * that others don't reach.
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
 * Returns the `host:port` at which others reach a server of this entry. One that
 * listens on every host has no address of its own, and a peer that called that
 * host would reach itself.
 */
export function resolveAdvertisedAddress(
  listening: string,
  listed: string | undefined,
): string {
  return listening.startsWith(`${ANY_HOST}:`) ? listed ?? listening : listening;
}
