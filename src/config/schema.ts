import { z } from "zod";
import type { DeepPartial } from "../partial_parse.ts";

const name = z.string().regex(
  /^[a-z][a-z0-9-]{0,62}$/,
  "a lower-case name of letters, digits and dashes, at most 63 characters",
);
const timeOfDay = z.string().regex(
  /^([01]\d|2[0-3]):[0-5]\d$/,
  "a time from 00:00 to 23:59",
);
const endOfDay = z.string().regex(
  /^([01]\d|2[0-3]):[0-5]\d$|^24:00$/,
  "a time from 00:00 to 24:00",
);
const weekday = z.enum(["mon", "tue", "wed", "thu", "fri", "sat", "sun"]);
const timeZone = z.string().refine(
  isTimeZone,
  "a time zone of the IANA database, such as Africa/Windhoek",
);

/** Whether the runtime knows a time zone by this name. */
function isTimeZone(name: string): boolean {
  try {
    new Intl.DateTimeFormat("en", { timeZone: name });
    return true;
  } catch {
    return false;
  }
}

/** A daily window in which an action is allowed; a `to` before `from` is on the next day. */
const dailyWindowSchema = z.strictObject({
  timeZone,
  days: z.array(weekday).min(1).default([
    "mon",
    "tue",
    "wed",
    "thu",
    "fri",
    "sat",
    "sun",
  ]),
  from: timeOfDay,
  to: endOfDay,
});

const serviceSchema = z.strictObject({
  name,
  /** Number of requests that one instance of the service may run at once. */
  slotsPerInstance: z.number().int().min(1).max(1_024).default(8),
  /** Maximum number of connections to one instance, over all entries. */
  connectionsPerInstance: z.number().int().min(1).max(4_096).default(64),
  /** Deadline of requests whose caller sets none, in ms. */
  defaultDeadlineMs: z.number().int().min(10).max(600_000).default(5_000),
  /** HTTP methods that may safely run more than once. */
  idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/)).default([
    "GET",
    "HEAD",
    "OPTIONS",
    "PUT",
    "DELETE",
  ]),
  /** Retries allowed for each 100 successful requests. */
  retryBudgetPercent: z.number().min(0).max(100).default(10),
});

const teamSchema = z.strictObject({
  name,
  /** Limits of the resources that the team's running jobs reserve together; an absent resource isn't limited. */
  quota: z.strictObject({
    cores: z.number().nonnegative().optional(),
    memoryMb: z.number().nonnegative().optional(),
    accelerators: z.number().int().nonnegative().optional(),
  }).default({}),
});

const lendingSchema = z.strictObject({
  /** Maximum number of VMs that are lent at the same time. */
  maximumLentVms: z.number().int().nonnegative().default(0),
  /** When VMs may be lent; at any time if empty. */
  windows: z.array(dailyWindowSchema).default([]),
  /** Minimum time that a lent VM stays before another move, in ms. */
  minimumStayMs: z.number().int().nonnegative().default(600_000),
  /** Whether requests of other services may use free slots without a move. */
  overflow: z.boolean().default(false),
});

const maintenanceSchema = z.strictObject({
  /** Period in which every VM is maintained once, in days. */
  periodDays: z.number().min(0.01).max(365).default(21),
  /** Whether a wave goes rack by rack, or spreads the VMs under maintenance over racks. */
  order: z.enum(["rack", "spread"]).default("rack"),
  /** When drains for maintenance may start; at any time if empty. */
  windows: z.array(dailyWindowSchema).default([]),
  /** Maximum number of the pool's VMs that are under maintenance at the same time. */
  maximumConcurrentVms: z.number().int().min(1).default(1),
  /** Time from the start of a VM's drain until it serves again, in ms. */
  vmMaintenanceMs: z.number().int().min(1_000).max(86_400_000).default(
    600_000,
  ),
});

const poolSchema = z.strictObject({
  name,
  region: name,
  team: name,
  /** Services that the pool's VMs run; the first one is the pool's own service. */
  services: z.array(name).min(1),
  /** Number of VMs that the team owns. */
  vms: z.number().int().min(0).max(100_000),
  availability: z.strictObject({
    /** Minimum number of the pool's VMs that serve at any time. */
    minimumServingVms: z.number().int().nonnegative(),
  }),
  lending: lendingSchema.prefault({}),
  maintenance: maintenanceSchema.prefault({}),
  /** Whether other pools borrow from this pool before they borrow from others. */
  spare: z.boolean().default(false),
});

/** The operators' configuration file. */
export const configSchema = z.strictObject({
  version: z.literal(1),
  weights: z.strictObject({
    /** Weight of idle capacity that is kept as a buffer. */
    bufferCost: z.number().nonnegative().default(1),
    /** Weight of each VM move. */
    moves: z.number().nonnegative().default(1),
  }).prefault({}),
  /** Regions that pools may name; any region if absent. */
  regions: z.array(name).min(1).optional(),
  teams: z.array(teamSchema).min(1),
  services: z.array(serviceSchema).min(1),
  pools: z.array(poolSchema).min(1),
});

/** The configuration as an operator writes it. */
export type UserConfig = z.input<typeof configSchema>;
/** The configuration with every default filled in. */
export type ResolvedConfig = z.output<typeof configSchema>;
/** One pool with every default filled in. */
export type PoolConfig = ResolvedConfig["pools"][number];
/** A daily window in which VMs may be lent or maintained. */
export type DailyWindow = z.output<typeof dailyWindowSchema>;
/** One service with every default filled in. */
export type ServiceConfig = ResolvedConfig["services"][number];

/** A configuration without its invalid parts. */
export type PartialConfig = DeepPartial<ResolvedConfig>;
/** A pool without its invalid parts. */
export type PartialPool = DeepPartial<PoolConfig>;

/** Schema of the stored value: an accepted configuration with its metadata. */
export const appliedConfigSchema = z.object({
  revision: z.number().int().positive(),
  /** Identifies the `apply` run that wrote the value. */
  applyId: z.string(),
  appliedAtMs: z.number(),
  /** SHA-256 of the configuration's JSON, in hexadecimal. */
  digest: z.string(),
  config: configSchema,
  /** Earlier applies, newest first; they show whether a write with a lost response took effect before later ones. */
  previousApplies: z.array(
    z.object({ revision: z.number().int().positive(), applyId: z.string() }),
  ).optional(),
});

/** An accepted configuration with its metadata. */
export type AppliedConfig = z.output<typeof appliedConfigSchema>;
