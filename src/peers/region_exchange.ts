import { type Operation, spawn, until } from "effection";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Observable } from "../observable.ts";
import type { Vm } from "../ports/vm_list.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import type { RevisionReport } from "./revision_sync.ts";
import type { ByteMeter } from "./byte_meter.ts";
import { createPeerClient } from "./client.ts";
import { createNotifier, type Notifier } from "../notifier.ts";

/** Interval between regular exchanges with every other region, in ms. */
const REGION_INTERVAL_MS = 5_000;
/** Time after which a region's task starts an exchange without being notified, in ms. */
const IDLE_WAIT_MS = 60_000;
/** Maximum number of entries of a region that are called in one exchange. */
const MAXIMUM_ATTEMPTS = 3;

/** Options of `runRegionExchange`. */
export interface RegionExchangeOptions {
  readonly self: { readonly entryId: string; readonly region: string };
  /** `host:port` of this entry's peer server. */
  readonly peerAddress: string;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly currentRevision: () => number;
  /** Receives the revision that an entry of another region returned. */
  readonly onReport: (report: RevisionReport) => void;
  readonly meter: ByteMeter;
  /** Wakes the task after the configuration has changed. */
  readonly notifier: Notifier;
  readonly log: Logger;
  readonly random: () => number;
}

function groupEntriesByRegion(
  options: RegionExchangeOptions,
): Map<string, Vm[]> {
  const regions = new Map<string, Vm[]>();
  for (const vm of options.vmList.get()?.vms ?? []) {
    if (vm.role !== "entry" || vm.region === options.self.region) continue;
    regions.set(vm.region, [...regions.get(vm.region) ?? [], vm]);
  }
  return regions;
}

function shuffle<T>(items: readonly T[], random: () => number): T[] {
  return items.map((item) => ({ item, sortKey: random() }))
    .sort((a, b) => a.sortKey - b.sortKey)
    .map(({ item }) => item);
}

/**
 * Task that exchanges configuration revisions with one entry of every other
 * region until it is halted.
 */
export function* runRegionExchange(
  options: RegionExchangeOptions,
): Operation<void> {
  const { currentRevision, onReport, meter, notifier, log, random } = options;

  function* exchangeWith(address: string): Operation<boolean> {
    const client = createPeerClient(address, meter);
    try {
      const revision = yield* until(
        client.exchangeConfigRevision({
          entryId: options.self.entryId,
          configRevision: currentRevision(),
          peerAddress: options.peerAddress,
        }),
      );
      onReport({ address, revision });
      return true;
    } catch (error) {
      log.debug("exchange with another region failed", {
        address,
        reason: messageOf(error),
      });
      return false;
    } finally {
      client.close();
    }
  }

  function* runRegion(
    region: string,
    regionNotifier: Notifier,
  ): Operation<void> {
    while (true) {
      const entries = groupEntriesByRegion(options).get(region) ?? [];
      for (const vm of shuffle(entries, random).slice(0, MAXIMUM_ATTEMPTS)) {
        if (yield* exchangeWith(vm.controlAddress)) break;
      }
      yield* regionNotifier.wait(IDLE_WAIT_MS);
    }
  }

  // Each region has its own task, because the calls to an unreachable region take seconds to time out.
  const regionNotifiers = new Map<string, Notifier>();
  while (true) {
    for (const region of groupEntriesByRegion(options).keys()) {
      const existing = regionNotifiers.get(region);
      if (existing !== undefined) {
        existing.notify();
        continue;
      }
      const regionNotifier = createNotifier();
      regionNotifiers.set(region, regionNotifier);
      yield* spawn(() => runRegion(region, regionNotifier));
    }
    yield* notifier.wait(REGION_INTERVAL_MS);
  }
}
