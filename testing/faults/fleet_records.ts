import * as assert from "uvu/assert";
import {
  appliedConfigSchema,
  type ResolvedConfig,
} from "../../src/config/schema.ts";
import { CONFIG_KEY } from "../../src/constants.ts";
import { parseFleetRecord } from "../../src/fleet/follower.ts";
import { fleetKey, type FleetRecord } from "../../src/fleet/record.ts";
import {
  checkRecordChange,
  type Violation,
} from "../../src/fleet/record_check.ts";
import type { VersionedValue } from "../../src/ports/store.ts";
import { waitFor } from "../wait.ts";

const REGION = "khomas";
/** Store key of the fleet record. */
export const FLEET_KEY = fleetKey(REGION);
/** Name of the lease that the controller holds. */
export const CONTROLLER_LEASE = `controller/${REGION}`;

/** Returns a copy of the record in which the given VMs are failed. */
function markFailed(record: FleetRecord, ids: ReadonlySet<string>) {
  const vms = Object.entries(record.vms).map(([id, vm]) =>
    [id, ids.has(id) ? { ...vm, state: "failed" as const } : vm] as const
  );
  return { ...record, vms: Object.fromEntries(vms) };
}

/** History of the fleet records written to the store. */
export interface RecordHistory {
  /** Returns the latest record; fails if any write has violated an invariant. */
  latest(): FleetRecord;
  /** All records since tracking started, oldest first. */
  readonly history: readonly FleetRecord[];
  /** VMs that the checks treat as failed, whatever state the record has for them. */
  readonly unavailableVms: Set<string>;
  /** Called during each write, before the writer gets a response. */
  onWrite: (record: FleetRecord) => void;
}

/** Waits until all VMs are recorded, then records each fleet record and checks it against the configuration on which it is based. */
export async function trackFleetRecords(
  values: Map<string, VersionedValue>,
  vmCount: number,
): Promise<RecordHistory> {
  const read = () => {
    const stored = values.get(FLEET_KEY);
    return stored && parseFleetRecord(stored.value);
  };
  await waitFor(
    "all VMs are recorded",
    () => Object.keys(read()?.vms ?? {}).length === vmCount,
  );
  const configs = new Map<number, ResolvedConfig>();
  const addConfig = (value: string) => {
    const { revision, config } = appliedConfigSchema.parse(JSON.parse(value));
    configs.set(revision, config);
  };
  addConfig(values.get(CONFIG_KEY)!.value);
  const history = [read()!];
  const violations: Violation[] = [];
  const tracked: RecordHistory = {
    latest() {
      assert.equal(violations, []);
      return history.at(-1)!;
    },
    history,
    unavailableVms: new Set(),
    onWrite: () => {},
  };
  const set = values.set.bind(values);
  values.set = (key, stored) => {
    set(key, stored);
    if (key === CONFIG_KEY) addConfig(stored.value);
    if (key !== FLEET_KEY) return values;
    const next = parseFleetRecord(stored.value);
    const [before, after] = [history.at(-1)!, next].map((record) =>
      markFailed(record, tracked.unavailableVms)
    );
    const config = configs.get(next.configRevision)!;
    violations.push(...checkRecordChange(before!, after!, config));
    history.push(next);
    tracked.onWrite(next);
    return values;
  };
  return tracked;
}
