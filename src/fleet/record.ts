import { z } from "zod";

/** Version of the record's schema that this program reads and writes. */
export const FLEET_SCHEMA_VERSION = 1;

const transitionSchema = z.object({
  intentId: z.string(),
  kind: z.enum(["move", "return", "maintain", "retire"]),
  reason: z.string(),
  startedAtMs: z.number(),
  /** Pool that the VM goes to, for moves and returns. */
  targetPool: z.string().optional(),
});

/** A change of a VM that was decided and is being carried out. */
export type Transition = z.infer<typeof transitionSchema>;

const vmRecordSchema = z.object({
  /** The one pool that the VM belongs to. */
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
});

/** One VM in the fleet record. */
export type VmRecord = z.infer<typeof vmRecordSchema>;

/** The fleet record of one region. */
export const fleetRecordSchema = z.object({
  schemaVersion: z.literal(FLEET_SCHEMA_VERSION),
  region: z.string(),
  /** Grows by one with each write. */
  revision: z.number().int().nonnegative(),
  /** Configuration revision that the last write was decided under. */
  configRevision: z.number().int().nonnegative(),
  vms: z.record(z.string(), vmRecordSchema),
  maintenance: z.object({
    /** Set while correlated failures hold the wave back. */
    pausedReason: z.string().optional(),
    pausedAtMs: z.number().optional(),
  }),
});

/** The fleet record of one region. */
export type FleetRecord = z.infer<typeof fleetRecordSchema>;

/** Store key of a region's fleet record. */
export function fleetKey(region: string): string {
  return `fleet/${region}`;
}
