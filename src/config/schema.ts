import { z } from "zod";

const name = z.string().regex(
  /^[a-z][a-z0-9-]{0,62}$/,
  "a lower-case name of letters, digits and dashes, at most 63 characters",
);
const timeOfDay = z.string().regex(
  /^([01]\d|2[0-3]):[0-5]\d$|^24:00$/,
  "a time such as 17:30",
);
const weekday = z.enum(["mon", "tue", "wed", "thu", "fri", "sat", "sun"]);

/** A daily window in which lending is allowed. `to` before `from` means the next day. */
const lendingWindowSchema = z.strictObject({
  timeZone: z.string().min(1),
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
  to: timeOfDay,
});

const serviceSchema = z.strictObject({
  name,
  slotsPerInstance: z.number().int().min(1).max(1_024).default(8),
  connectionsPerInstance: z.number().int().min(1).max(4_096).default(64),
  /** Time that a request has when its caller names none, in ms. */
  defaultDeadlineMs: z.number().int().min(10).max(600_000).default(5_000),
  /** Methods that may run more than once. */
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
  quota: z.strictObject({
    cores: z.number().nonnegative().optional(),
    memoryMb: z.number().nonnegative().optional(),
    accelerators: z.number().int().nonnegative().optional(),
  }).default({}),
});

const lendingSchema = z.strictObject({
  /** VMs that may be in other pools at the same time. */
  maximumLentVms: z.number().int().nonnegative().default(0),
  /** When VMs may be lent; always, when empty. */
  windows: z.array(lendingWindowSchema).default([]),
  /** Shortest time that a lent VM stays before another move, in ms. */
  minimumStayMs: z.number().int().nonnegative().default(600_000),
  /** Whether requests of other services may use free slots without a move. */
  overflow: z.boolean().default(false),
});

const maintenanceSchema = z.strictObject({
  /** Every VM is maintained once in this period, in days. */
  periodDays: z.number().min(0.01).max(365).default(21),
  order: z.enum(["rack", "spread"]).default("rack"),
  /** VMs of the pool that may be under maintenance at the same time. */
  maximumConcurrentVms: z.number().int().min(1).default(1),
});

const poolSchema = z.strictObject({
  name,
  region: name,
  team: name,
  /** Services that the pool's VMs run; the first one is the pool's own. */
  services: z.array(name).min(1),
  /** VMs that the team owns. */
  vms: z.number().int().min(0).max(100_000),
  availability: z.strictObject({
    /** VMs of the pool that must be serving at any time. */
    minimumServingVms: z.number().int().nonnegative(),
  }),
  lending: lendingSchema.prefault({}),
  maintenance: maintenanceSchema.prefault({}),
  /** Whether this pool is the first one that others borrow from. */
  spare: z.boolean().default(false),
});

/** The operators' configuration file. */
export const configSchema = z.strictObject({
  version: z.literal(1),
  weights: z.strictObject({
    /** Weight of idle capacity held back. */
    bufferCost: z.number().nonnegative().default(1),
    /** Weight of each move of a VM. */
    moves: z.number().nonnegative().default(1),
  }).prefault({}),
  teams: z.array(teamSchema).min(1),
  services: z.array(serviceSchema).min(1),
  pools: z.array(poolSchema).min(1),
});

/** What an operator writes. */
export type UserConfig = z.input<typeof configSchema>;
/** The configuration with every default filled in. */
export type ResolvedConfig = z.output<typeof configSchema>;
/** One pool with every default filled in. */
export type PoolConfig = ResolvedConfig["pools"][number];
/** One service with every default filled in. */
export type ServiceConfig = ResolvedConfig["services"][number];

/** The store's value: a configuration that was accepted. */
export const appliedConfigSchema = z.object({
  revision: z.number().int().positive(),
  /** Names the run of `apply` that wrote the value. */
  applyId: z.string(),
  appliedAtMs: z.number(),
  /** SHA-256 of the configuration's JSON, in hexadecimal. */
  digest: z.string(),
  config: configSchema,
});

/** A configuration that was accepted. */
export type AppliedConfig = z.output<typeof appliedConfigSchema>;
