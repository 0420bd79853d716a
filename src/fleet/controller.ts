import { type Operation, sleep, until } from "effection";
import type { Clock } from "../clock.ts";
import type { AppliedConfig } from "../config/schema.ts";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import type { Observable } from "../observable.ts";
import type { Store } from "../platform/store.ts";
import type { VmListSnapshot } from "../platform/vm_list_poller.ts";
import { assignNewVms } from "./assignment.ts";
import { parseFleetRecord } from "./follower.ts";
import { FLEET_SCHEMA_VERSION, fleetKey, type FleetRecord } from "./record.ts";

/** Time between planning steps, in ms. */
const PLANNING_INTERVAL_MS = 1_000;
/** Time to live of the controller lease, in ms. */
const LEASE_TTL_MS = 5_000;

/** What the controller works with. */
export interface ControllerOptions {
  readonly holder: string;
  readonly region: string;
  readonly store: Store;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly clock: Clock;
  readonly log: Logger;
}

function emptyRecord(region: string): FleetRecord {
  return {
    schemaVersion: FLEET_SCHEMA_VERSION,
    region,
    revision: 0,
    configRevision: 0,
    vms: {},
    maintenance: {},
  };
}

async function planOnce(options: ControllerOptions): Promise<void> {
  const { holder, region, store, config, vmList, clock, log } = options;
  const applied = config.get();
  const vms = vmList.get()?.vms;
  if (applied === undefined || vms === undefined) return;
  const lease = await store.acquireLease(`controller/${region}`, {
    holder,
    ttlMs: LEASE_TTL_MS,
  });
  if (lease.kind === "held") return;

  const entry = await store.get(fleetKey(region));
  const record = entry === undefined
    ? emptyRecord(region)
    : parseFleetRecord(entry.value);
  const nowMs = clock.wallMs();
  const added = assignNewVms({ record, config: applied.config, vms, nowMs });
  if (Object.keys(added).length === 0) return;
  const next: FleetRecord = {
    ...record,
    revision: record.revision + 1,
    configRevision: applied.revision,
    vms: { ...record.vms, ...added },
  };
  const result = await store.compareAndSwap({
    key: fleetKey(region),
    expectedVersion: entry?.version ?? 0,
    value: JSON.stringify(next),
  });
  if (result.kind === "swapped") {
    log.info(`assigned ${Object.keys(added).length} VM(s)`);
  }
}

/** Task that plans the region's fleet while it holds the lease, until it is halted. */
export function* runController(options: ControllerOptions): Operation<void> {
  let failing = false;
  while (true) {
    try {
      yield* until(planOnce(options));
      failing = false;
    } catch (error) {
      if (!failing) {
        options.log.warn("planning step failed", { reason: messageOf(error) });
      }
      failing = true;
    }
    yield* sleep(PLANNING_INTERVAL_MS);
  }
}
