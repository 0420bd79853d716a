import type { Clock } from "../clock.ts";
import type { AppliedConfig } from "../config/schema.ts";
import type { FleetRecord } from "../fleet/record.ts";
import type { Logger } from "../logger.ts";
import type { Observable } from "../observable.ts";
import type { EntryDigest, ServiceLoad } from "../peers/messages.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import { computeEntryDemands, countEntries } from "./entry_demands.ts";
import { decideEjections, decideReinstatements } from "./ejection.ts";
import { type AttemptResult, InstanceState } from "./instance_state.ts";
import { LeavingVms } from "./leaving_vms.ts";
import { orderOverflowPools } from "./overflow.ts";
import { buildPoolViews, type PoolView } from "./pool_views.ts";
import {
  computeConnectionLimit,
  computeSlotShares,
  type SlotShares,
} from "./slot_shares.ts";

/** Dependencies of the router. */
export interface RouterOptions {
  readonly entryId: string;
  readonly region: string;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly entries: Observable<readonly EntryDigest[]>;
  /** Returns the load of this entry, used while `entries` doesn't contain its digest. */
  readonly ownLoad: () => Record<string, ServiceLoad>;
  /** Returns whether requests of a service are queued. */
  readonly hasQueuedRequests: (service: string) => boolean;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A slot of one instance, reserved for one attempt. */
export interface SlotGrant {
  readonly instanceState: InstanceState;
  readonly pool: string;
  /** Service of the request. */
  readonly service: string;
  /** The pool's own service, which has priority when the slot is released. */
  readonly ownService: string;
  /** Whether the request belongs to another service than the pool's own. */
  readonly overflow: boolean;
  /** Whether the request probes an ejected instance. */
  readonly probe: boolean;
}

/** Requirements for a slot. */
export interface SlotRequest {
  readonly service: string;
  readonly idempotent: boolean;
  /** Ids of the VMs on which an attempt of this request has failed. */
  readonly excluded: ReadonlySet<string>;
}

/** A pool with this entry's share of its slots. */
interface PoolState {
  readonly view: PoolView;
  readonly shares: SlotShares;
  readonly instanceStates: readonly InstanceState[];
  /** Slots that this entry may use for requests of other services. */
  readonly overflowLimit: number;
}

/** Selects instances by slot share, health and overflow limit, and counts requests in flight. */
export class Router {
  #options: RouterOptions;
  #leavingVms = new LeavingVms();
  #instances = new Map<string, InstanceState>();
  #pools: PoolState[] = [];
  #ownPools = new Map<string, PoolState[]>();
  #overflowPools = new Map<string, PoolState[]>();
  #overflowInFlight = new Map<string, number>();
  #roundRobinOffset = 0;
  #notServingRecord: FleetRecord | undefined;
  #notServingIds: readonly string[] = [];

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Recomputes pools, slot shares and connection limits from the latest inputs. */
  update(): void {
    const { region, entryId } = this.#options;
    const config = this.#options.config.get()?.config;
    const record = this.#options.fleet.get();
    const vms = this.#options.vmList.get()?.vms;
    if (config === undefined || record === undefined || vms === undefined) {
      return;
    }
    this.#leavingVms.removeReturned(record, vms);
    const digests = this.#options.entries.get();
    const leavingVms = new Set([
      ...this.#leavingVms.list(),
      ...digests.flatMap((digest) => digest.leavingVms),
    ]);
    const views = buildPoolViews({ region, config, record, vms, leavingVms });
    this.#updateInstances(
      views,
      countEntries({ entryId, region, digests, vms }),
    );
    const demands = computeEntryDemands({
      entryId,
      digests,
      ownLoad: this.#options.ownLoad(),
      views,
    });
    this.#pools = views.map((view) => {
      const shares = computeSlotShares({
        pool: view.name,
        instances: view.instances,
        lends: view.lends,
        minimumServingSlots: view.minimumServingSlots,
        entries: demands.get(view.name) ?? [],
      });
      const instanceStates = view.instances.map((instance) => {
        const state = this.#instances.get(instance.vmId)!;
        state.share = shares.instances.get(instance.vmId)?.get(entryId) ?? 0;
        return state;
      });
      const overflowLimit = shares.entries.get(entryId)?.overflowLimit ?? 0;
      return { view, shares, instanceStates, overflowLimit };
    });
    this.#indexPools();
  }

  #updateInstances(views: readonly PoolView[], entryCount: number): void {
    const listed = new Set<string>();
    for (const instance of views.flatMap((view) => view.instances)) {
      listed.add(instance.vmId);
      let state = this.#instances.get(instance.vmId);
      if (
        state === undefined ||
        state.instance.incarnation !== instance.incarnation ||
        state.instance.address !== instance.address
      ) {
        state?.connections.close();
        state = new InstanceState(instance, this.#options.clock);
        this.#instances.set(instance.vmId, state);
      }
      state.instance = instance;
      state.active = true;
      state.connections.setLimit(
        computeConnectionLimit(instance.connections, entryCount),
      );
    }
    for (const [vmId, state] of this.#instances) {
      if (listed.has(vmId)) continue;
      state.active = false;
      state.share = 0;
      if (state.inFlight > 0) continue;
      state.connections.close();
      this.#instances.delete(vmId);
    }
  }

  #indexPools(): void {
    this.#ownPools.clear();
    this.#overflowPools.clear();
    for (const pool of this.#pools) {
      for (const service of pool.view.services) {
        const index = service === pool.view.ownService
          ? this.#ownPools
          : this.#overflowPools;
        if (index === this.#overflowPools && !pool.view.lends) continue;
        const pools = index.get(service);
        if (pools === undefined) index.set(service, [pool]);
        else pools.push(pool);
      }
    }
  }

  /** Reserves a slot in the service's own pools, otherwise in a lending pool; returns undefined when none is free. */
  acquire(request: SlotRequest): SlotGrant | undefined {
    for (const pool of this.#ownPools.get(request.service) ?? []) {
      const state = this.#selectInstance(pool, request);
      if (state !== undefined) return this.#grant(pool, state, request.service);
    }
    const lendingPools = this.#overflowPools.get(request.service);
    if (lendingPools === undefined) return undefined;
    const byName = new Map(lendingPools.map((pool) => [pool.view.name, pool]));
    const candidates = orderOverflowPools(
      lendingPools.map((pool) => ({
        pool: pool.view.name,
        spare: pool.view.spare,
        freeSlots: pool.overflowLimit -
          (this.#overflowInFlight.get(pool.view.name) ?? 0),
        ownQueueWaiting: this.#options.hasQueuedRequests(pool.view.ownService),
      })),
    );
    for (const candidate of candidates) {
      const pool = byName.get(candidate.pool)!;
      const state = this.#selectInstance(pool, request);
      if (state !== undefined) return this.#grant(pool, state, request.service);
    }
    return undefined;
  }

  #selectInstance(
    pool: PoolState,
    request: SlotRequest,
  ): InstanceState | undefined {
    const { instanceStates } = pool;
    let best: InstanceState | undefined;
    let bestFree = 0;
    const offset = this.#roundRobinOffset++;
    for (let index = 0; index < instanceStates.length; index++) {
      const state = instanceStates[(index + offset) % instanceStates.length]!;
      const free = state.freeSlots();
      if (free <= 0 || request.excluded.has(state.instance.vmId)) continue;
      if (state.ejected) {
        if (state.canProbe(request.idempotent)) return state;
      } else if (free > bestFree) {
        best = state;
        bestFree = free;
      }
    }
    return best;
  }

  #grant(pool: PoolState, state: InstanceState, service: string): SlotGrant {
    const { name, ownService } = pool.view;
    const overflow = ownService !== service;
    if (overflow) {
      const count = this.#overflowInFlight.get(name) ?? 0;
      this.#overflowInFlight.set(name, count + 1);
    }
    const probe = state.startRequest();
    return {
      instanceState: state,
      pool: name,
      service,
      ownService,
      overflow,
      probe,
    };
  }

  /** Releases a slot and records the result of its attempt. */
  release(grant: SlotGrant, result: AttemptResult): void {
    const { instanceState: state, pool, overflow, probe } = grant;
    if (overflow) {
      const count = this.#overflowInFlight.get(pool) ?? 1;
      this.#overflowInFlight.set(pool, count - 1);
    }
    state.finishRequest(result, probe);
    if (result.kind === "failure") this.updateEjections();
    if (!state.active && state.inFlight === 0) {
      state.connections.close();
      if (this.#instances.get(state.instance.vmId) === state) {
        this.#instances.delete(state.instance.vmId);
      }
    }
  }

  /** Stops routing to a backend server that announced that it is leaving. */
  markLeaving(grant: SlotGrant): void {
    const { vmId, incarnation } = grant.instanceState.instance;
    const record = this.#options.fleet.get();
    if (!this.#leavingVms.add(vmId, incarnation, record)) return;
    this.#options.log.info("backend server announced that it is leaving", {
      vm: vmId,
    });
    this.update();
  }

  /** Ejects and reinstates instances according to their health. */
  updateEjections(): void {
    for (const { view, instanceStates } of this.#pools) {
      const input = {
        instances: instanceStates.map((state) => state.health()),
        minimumServingVms: view.minimumServingVms,
      };
      const byId = new Map(
        instanceStates.map((state) => [state.instance.vmId, state]),
      );
      for (const { vmId, reason } of decideEjections(input)) {
        byId.get(vmId)?.eject(reason);
        this.#options.log.warn("instance ejected", { vm: vmId, reason });
      }
      for (const vmId of decideReinstatements(input)) {
        byId.get(vmId)?.reinstate();
        this.#options.log.info(
          "instance reinstated to keep minimumServingVms",
          { vm: vmId },
        );
      }
    }
  }

  /** Returns whether any instance that isn't excluded can run the service's requests. */
  hasInstance(service: string, excluded: ReadonlySet<string>): boolean {
    return [
      ...this.#ownPools.get(service) ?? [],
      ...this.#overflowPools.get(service) ?? [],
    ].some((pool) =>
      pool.instanceStates.some((state) => !excluded.has(state.instance.vmId))
    );
  }

  /** Returns the ids of the VMs that announced to this entry that they are leaving. */
  leavingVms(): string[] {
    return this.#leavingVms.list();
  }

  /** Returns the VMs that aren't in the state `serving`; cached per fleet record, because digests need them several times a second. */
  #listNotServing(): readonly string[] {
    const record = this.#options.fleet.get();
    if (record !== this.#notServingRecord) {
      this.#notServingRecord = record;
      this.#notServingIds = Object.entries(record?.vms ?? {})
        .filter(([, { state }]) => state !== "serving").map(([vmId]) => vmId);
    }
    return this.#notServingIds;
  }

  /** Returns the number of requests in flight by id of each VM that accepts no new requests. */
  drainingInFlight(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const vmId of this.#listNotServing()) counts[vmId] = 0;
    for (const vmId of this.#leavingVms.list()) counts[vmId] = 0;
    for (const [vmId, state] of this.#instances) {
      if (!state.active) counts[vmId] = state.inFlight;
    }
    return counts;
  }

  /** Returns the state for the dump. */
  describe(): unknown {
    return {
      pools: this.#pools.map(({ view, shares, overflowLimit }) => ({
        pool: view.name,
        instances: view.instances.length,
        lendable: shares.lendable,
        overflowLimit,
        overflowInFlight: this.#overflowInFlight.get(view.name) ?? 0,
        entries: Object.fromEntries(shares.entries),
      })),
      instances: [...this.#instances.values()].map((state) => state.describe()),
      leavingVms: this.#leavingVms.list(),
    };
  }

  close(): void {
    for (const state of this.#instances.values()) state.connections.close();
  }
}
