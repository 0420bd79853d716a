import { z } from "zod";

/** Version of the record's schema that this program reads and writes. */
export const FLEET_SCHEMA_VERSION = 1;

const transitionSchema = z.object({
  /** Identifies the transition in commands to the worker. */
  intentId: z.string(),
  kind: z.enum(["move", "return", "maintain", "retire"]),
  reason: z.string(),
  startedAtMs: z.number(),
  /** Revision of the record that started the drain; entries acknowledge this one or a newer one. */
  fleetRevision: z.number().int(),
  /** Wall-clock time at which the reboot was recorded, in ms; the command may be sent from then on. */
  rebootStartedAtMs: z.number().optional(),
  /** Pool that the VM moves to, for moves and returns. */
  targetPool: z.string().optional(),
});

/** A decided change of a VM that is in progress. */
export type Transition = z.infer<typeof transitionSchema>;

const vmRecordSchema = z.object({
  /** The pool that the VM is in. */
  pool: z.string(),
  /** The pool whose team owns the VM. */
  homePool: z.string(),
  state: z.enum([
    "serving",
    "draining",
    "rebooting",
    "failed",
    "leaving",
    "quarantined",
  ]),
  transition: transitionSchema.optional(),
  incarnation: z.string(),
  dataCentre: z.string(),
  rack: z.string(),
  /** Wall-clock time of the last state or pool change, in ms. */
  changedAtMs: z.number(),
  /** Wall-clock time of the last maintenance, in ms; 0 when none is known. */
  maintainedAtMs: z.number(),
  /** Wall-clock time at which the current loan began, in ms. */
  lentAtMs: z.number().optional(),
});

/** One VM in the fleet record. */
export type VmRecord = z.infer<typeof vmRecordSchema>;

const maintenanceStateSchema = z.object({
  /** Set while the waves are paused because of correlated failures. */
  pausedReason: z.string().optional(),
  /** Wall-clock time at which the pause began, in ms. */
  pausedAtMs: z.number().optional(),
  /** Start of each pool's current wave, as wall-clock time in ms. */
  waves: z.record(z.string(), z.number()).default({}),
  /** Pools whose wave can't finish in its period, with the reason. */
  late: z.record(z.string(), z.string()).default({}),
  /** Smoothed time from the start of a drain to the end of the reboot, in ms. */
  averageDurationMs: z.number().optional(),
});

/** State of the maintenance waves of a region. */
export type MaintenanceState = z.infer<typeof maintenanceStateSchema>;

/** Schema of the fleet record of one region. */
export const fleetRecordSchema = z.object({
  schemaVersion: z.literal(FLEET_SCHEMA_VERSION),
  region: z.string(),
  /** Incremented by each write. */
  revision: z.number().int().nonnegative(),
  /** Configuration revision that the last write was planned with. */
  configRevision: z.number().int().nonnegative(),
  vms: z.record(z.string(), vmRecordSchema),
  maintenance: maintenanceStateSchema,
});

/** The fleet record of one region. */
export type FleetRecord = z.output<typeof fleetRecordSchema>;

/** Store key of a region's fleet record. */
export function fleetKey(region: string): string {
  return `fleet/${region}`;
}

/** Creates the record of a region that has none yet. */
export function createFleetRecord(region: string): FleetRecord {
  return {
    schemaVersion: FLEET_SCHEMA_VERSION,
    region,
    revision: 0,
    configRevision: 0,
    vms: {},
    maintenance: { waves: {}, late: {} },
  };
}

/** Whether the VM is in another pool than its own. */
export function isLent(vm: VmRecord): boolean {
  return vm.pool !== vm.homePool;
}

/** Whether the VM counts as lent: it is in another pool or draining to move to one, and not returning. */
export function countsAsLent(vm: VmRecord): boolean {
  const { transition } = vm;
  if (isLent(vm)) return transition?.kind !== "return";
  return transition?.kind === "move" && transition.targetPool !== vm.homePool;
}
