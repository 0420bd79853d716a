import { StoreError } from "../errors.ts";
import type { Store, VersionedValue } from "../ports/store.ts";
import { parseJson, parseWithSchema } from "../validation.ts";
import {
  appendDecisions,
  type Decision,
  decisionLogKey,
  decisionLogSchema,
} from "./decision_log.ts";
import {
  createDemandState,
  demandKey,
  type DemandState,
  demandStateSchema,
} from "./demand.ts";
import { parseFleetRecord } from "./follower.ts";
import { createFleetRecord, fleetKey, type FleetRecord } from "./record.ts";

/** A fleet record with its version in the store, which the next write expects. */
export interface VersionedRecord {
  readonly record: FleetRecord;
  readonly version: number;
}

/** The controller's values in the store; each method rejects with a `StoreError` or a `ValidationError`. */
export interface ControllerStore {
  readRecord(): Promise<VersionedRecord>;
  /** Writes the next record; returns it if the write took effect. A lost response is resolved by reading again. */
  swapRecord(
    current: VersionedRecord,
    next: FleetRecord,
  ): Promise<VersionedRecord | undefined>;
  appendLog(decisions: readonly Decision[]): Promise<void>;
  readDemand(): Promise<DemandState>;
  writeDemand(state: DemandState): Promise<void>;
}

/** Creates the access to the controller's values of one region. */
export function createControllerStore(
  store: Store,
  region: string,
): ControllerStore {
  async function updateValue(
    key: string,
    build: (entry: VersionedValue | undefined) => unknown,
  ): Promise<void> {
    const entry = await store.get(key);
    const result = await store.compareAndSwap({
      key,
      expectedVersion: entry?.version ?? 0,
      value: JSON.stringify(build(entry)),
    });
    if (result.kind === "conflict") {
      throw new StoreError("rejected", `${key} was written concurrently`);
    }
  }

  function parseLog(entry: VersionedValue | undefined): Decision[] {
    if (entry === undefined) return [];
    const data = parseJson(entry.value, "decision log");
    return parseWithSchema(decisionLogSchema, data, "decision log").decisions;
  }

  return {
    async readRecord() {
      const entry = await store.get(fleetKey(region));
      return entry === undefined
        ? { record: createFleetRecord(region), version: 0 }
        : { record: parseFleetRecord(entry.value), version: entry.version };
    },
    async swapRecord(current, next) {
      const value = JSON.stringify(next);
      try {
        const result = await store.compareAndSwap({
          key: fleetKey(region),
          expectedVersion: current.version,
          value,
        });
        if (result.kind === "conflict") return undefined;
        return { record: next, version: result.version };
      } catch (error) {
        const isUnknownOutcome = error instanceof StoreError &&
          error.failure === "unknown_outcome";
        if (!isUnknownOutcome) throw error;
        const entry = await store.get(fleetKey(region));
        if (entry?.value !== value) return undefined;
        return { record: next, version: entry.version };
      }
    },
    appendLog: (decisions) =>
      updateValue(decisionLogKey(region), (entry) => ({
        decisions: appendDecisions(parseLog(entry), decisions),
      })),
    async readDemand() {
      const entry = await store.get(demandKey(region));
      if (entry === undefined) return createDemandState();
      const data = parseJson(entry.value, "demand history");
      return parseWithSchema(demandStateSchema, data, "demand history");
    },
    writeDemand: (state) => updateValue(demandKey(region), () => state),
  };
}
