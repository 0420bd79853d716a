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

/** What the router works with. */
export interface RouterOptions {
  readonly entryId: string;
  readonly region: string;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly entries: Observable<readonly EntryDigest[]>;
  /** Load of this entry, used while its own digest isn't among the entries. */
  readonly ownLoad: () => Record<string, ServiceLoad>;
  /** Whether requests of a service are waiting. */
  readonly hasWaiting: (service: string) => boolean;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A slot of one instance, held for one attempt. */
export interface SlotGrant {
  readonly state: InstanceState;
  readonly pool: string;
  /** Service that the request belongs to. */
  readonly service: string;
  /** Service that comes first when the slot is free again. */
  readonly ownService: string;
  readonly overflow: boolean;
  /** Whether the request probes an ejected instance. */
  readonly probe: boolean;
}

/** What a slot is wanted for. */
export interface SlotRequest {
  readonly service: string;
  readonly idempotent: boolean;
  /** VMs on which an attempt has failed. */
  readonly excluded: ReadonlySet<string>;
}

interface PoolState {
  readonly view: PoolView;
  readonly shares: SlotShares;
  readonly states: readonly InstanceState[];
  readonly overflowLimit: number;
}

/** Chooses instances by slot shares, health and overflow limits, and counts requests in flight. */
export class Router {
  #options: RouterOptions;
  #leaving = new LeavingVms();
  #states = new Map<string, InstanceState>();
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

  /** Recomputes pools, shares and connection limits from the latest inputs. */
  update(): void {
    const { region, entryId } = this.#options;
    const config = this.#options.config.get()?.config;
    const record = this.#options.fleet.get();
    const vms = this.#options.vmList.get()?.vms;
    if (config === undefined || record === undefined || vms === undefined) {
      return;
    }
    this.#leaving.removeReturned(record, vms);
    const digests = this.#options.entries.get();
    const leavingVms = new Set([
      ...this.#leaving.list(),
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
      const states = view.instances.map((instance) => {
        const state = this.#states.get(instance.vmId)!;
        state.share = shares.instances.get(instance.vmId)?.get(entryId) ?? 0;
        return state;
      });
      const overflowLimit = shares.entries.get(entryId)?.overflowLimit ?? 0;
      return { view, shares, states, overflowLimit };
    });
    this.#indexPools();
  }

  #updateInstances(views: readonly PoolView[], entryCount: number): void {
    const listed = new Set<string>();
    for (const instance of views.flatMap((view) => view.instances)) {
      listed.add(instance.vmId);
      let state = this.#states.get(instance.vmId);
      if (
        state === undefined ||
        state.instance.incarnation !== instance.incarnation ||
        state.instance.address !== instance.address
      ) {
        state?.connections.close();
        state = new InstanceState(instance, this.#options.clock);
        this.#states.set(instance.vmId, state);
      }
      state.instance = instance;
      state.active = true;
      state.connections.setLimit(
        computeConnectionLimit(instance.connections, entryCount),
      );
    }
    for (const [vmId, state] of this.#states) {
      if (listed.has(vmId)) continue;
      state.active = false;
      state.share = 0;
      if (state.inFlight > 0) continue;
      state.connections.close();
      this.#states.delete(vmId);
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

  /** Takes a slot of the service's own pools, else of a lending pool; undefined when none is free. */
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
        ownQueueWaiting: this.#options.hasWaiting(pool.view.ownService),
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
    const { states } = pool;
    let best: InstanceState | undefined;
    let bestFree = 0;
    const offset = this.#roundRobinOffset++;
    for (let index = 0; index < states.length; index++) {
      const state = states[(index + offset) % states.length]!;
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
    return { state, pool: name, service, ownService, overflow, probe };
  }

  /** Gives a slot back. */
  release(grant: SlotGrant, result: AttemptResult): void {
    const { state, pool, overflow, probe } = grant;
    if (overflow) {
      const count = this.#overflowInFlight.get(pool) ?? 1;
      this.#overflowInFlight.set(pool, count - 1);
    }
    state.finishRequest(result, probe);
    if (result.kind === "failure") this.updateEjections();
    if (!state.active && state.inFlight === 0) {
      state.connections.close();
      if (this.#states.get(state.instance.vmId) === state) {
        this.#states.delete(state.instance.vmId);
      }
    }
  }

  /** Notes that a backend server announced that it is leaving. */
  markLeaving(grant: SlotGrant): void {
    const { vmId, incarnation } = grant.state.instance;
    const record = this.#options.fleet.get();
    if (!this.#leaving.add(vmId, incarnation, record)) return;
    this.#options.log.info("backend server announced that it is leaving", {
      vm: vmId,
    });
    this.update();
  }

  /** Ejects and reinstates instances by their health. */
  updateEjections(): void {
    for (const { view, states } of this.#pools) {
      const input = {
        instances: states.map((state) => state.health()),
        minimumServingVms: view.minimumServingVms,
      };
      const byId = new Map(
        states.map((state) => [state.instance.vmId, state]),
      );
      for (const { vmId, reason } of decideEjections(input)) {
        byId.get(vmId)?.eject(reason);
        this.#options.log.warn("instance ejected", { vm: vmId, reason });
      }
      for (const vmId of decideReinstatements(input)) {
        byId.get(vmId)?.reinstate();
        this.#options.log.info("instance reinstated for the budget", {
          vm: vmId,
        });
      }
    }
  }

  /** Whether any instance outside the excluded ones may run the service's requests. */
  hasInstance(service: string, excluded: ReadonlySet<string>): boolean {
    return [
      ...this.#ownPools.get(service) ?? [],
      ...this.#overflowPools.get(service) ?? [],
    ].some((pool) =>
      pool.states.some((state) => !excluded.has(state.instance.vmId))
    );
  }

  leavingVms(): string[] {
    return this.#leaving.list();
  }

  /** VMs that the record doesn't show as serving; found once for each record, as digests ask for them several times a second. */
  #listNotServing(): readonly string[] {
    const record = this.#options.fleet.get();
    if (record !== this.#notServingRecord) {
      this.#notServingRecord = record;
      this.#notServingIds = Object.entries(record?.vms ?? {})
        .filter(([, { state }]) => state !== "serving").map(([vmId]) => vmId);
    }
    return this.#notServingIds;
  }

  /** Requests in flight for each VM that takes no new work. */
  drainingInFlight(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const vmId of this.#listNotServing()) counts[vmId] = 0;
    for (const vmId of this.#leaving.list()) counts[vmId] = 0;
    for (const [vmId, state] of this.#states) {
      if (!state.active) counts[vmId] = state.inFlight;
    }
    return counts;
  }

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
      instances: [...this.#states.values()].map((state) => state.describe()),
      leavingVms: this.#leaving.list(),
    };
  }

  close(): void {
    for (const state of this.#states.values()) state.connections.close();
  }
}
