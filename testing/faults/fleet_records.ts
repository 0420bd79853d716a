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
export const FLEET_KEY = fleetKey(REGION);
export const CONTROLLER_LEASE = `controller/${REGION}`;

/** Returns the record with some VMs shown as failed. */
function markFailed(record: FleetRecord, ids: ReadonlySet<string>) {
  const vms = Object.entries(record.vms).map(([id, vm]) =>
    [id, ids.has(id) ? { ...vm, state: "failed" as const } : vm] as const
  );
  return { ...record, vms: Object.fromEntries(vms) };
}

/** Fleet records as they are written. */
export interface RecordHistory {
  /** The newest record; throws once a write has broken a rule by its own decisions. */
  latest(): FleetRecord;
  /** Records written since the start. */
  readonly history: readonly FleetRecord[];
  /** VMs that the checks count as missing, whatever the record shows. */
  readonly unavailableVms: Set<string>;
  /** Called within each write, before its writer gets an answer. */
  onWrite: (record: FleetRecord) => void;
}

/** Checks each fleet record that is written from now on under the configuration that it was decided with. */
export async function trackFleetRecords(
  values: Map<string, VersionedValue>,
  vmCount: number,
): Promise<RecordHistory> {
  const read = () => {
    const entry = values.get(FLEET_KEY);
    return entry && parseFleetRecord(entry.value);
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
  values.set = (key, entry) => {
    set(key, entry);
    if (key === CONFIG_KEY) addConfig(entry.value);
    if (key !== FLEET_KEY) return values;
    const next = parseFleetRecord(entry.value);
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
