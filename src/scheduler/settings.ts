import { z } from "zod";
import { vmLimitsSchema } from "../connections/connection_limits.ts";
import { ValidationError } from "../errors.ts";
import { listSchemaIssues, parseJson } from "../validation.ts";
import { DEFAULT_NOTICE_MS } from "./disruption_budget.ts";
import {
  isNetworkAddress,
  networkAddressSchema as address,
} from "./network_address.ts";
import { MAXIMUM_LANES } from "./ownership.ts";

/** Settings of a scheduler process; unknown fields are ignored, because the platform may add some. */
export const schedulerSettingsSchema = z.object({
  entryId: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  listen: z.object({
    callers: address,
    readiness: address,
    /** Port for calls from other entries, metrics and the state dump. */
    peers: address,
  }),
  /** Peer addresses of some entries, which may be outdated; texts that aren't addresses are left out. */
  seedPeers: z.array(z.unknown()).default([]).transform((peers) =>
    peers.filter((peer): peer is string =>
      typeof peer === "string" && isNetworkAddress(peer)
    )
  ),
  platform: z.object({
    storeAddress: address,
    vmApiAddress: address,
    adviceAddress: z.union([address, z.literal("")]).default(""),
    /** Write calls per second that the store allows across all entries. */
    writesPerS: z.number().positive().default(400),
  }),
  limits: z.object({
    /** CPU cores that this VM may use, for example 0.675. */
    cores: z.number().positive().default(1),
    /** Network bandwidth of this VM, in Mbit/s. */
    linkMbps: z.number().positive().default(1_000),
    ...vmLimitsSchema.shape,
  }).prefault({}),
  bounds: z.object({
    /** Grace period between the stop signal and the kill, in seconds. */
    graceS: z.number().positive().default(6),
    /** Time for which the status of an ended job can be queried, in seconds. */
    keepEndedS: z.number().positive().default(120),
    /** Minimum time between orders of two owners for one VM, in ms. */
    holderGapMs: z.number().min(0).default(3_000),
    /** Time for which a task of a long-running step must have been at work before it no longer counts as away, in ms. */
    noticeMs: z.number().min(0).default(DEFAULT_NOTICE_MS),
    /** Whether API keys are refused once the configuration may be older than `revocationMs`. */
    strictRevocation: z.boolean().default(false),
    /** Time within which a withdrawn API key must be refused, in ms. */
    revocationMs: z.number().positive().default(5_000),
  }).prefault({}),
  overload: z.object({
    /** Whether the owner rejects jobs that certainly can't finish within three times their objective. */
    rejectUnattainable: z.boolean().default(false),
  }).prefault({}),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
});

export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;

/** Parses and validates settings; throws a `ValidationError` that lists every issue. */
export function resolveSchedulerSettings(
  text: string,
  source: string,
): SchedulerSettings {
  const data = parseJson(text, source);
  const issues = listSchemaIssues(schedulerSettingsSchema, data);
  if (issues.length > 0) throw new ValidationError(source, issues);
  return schedulerSettingsSchema.parse(data);
}

/** Returns the names of the top-level settings that differ. */
export function listChangedSettings(
  before: SchedulerSettings,
  after: SchedulerSettings,
): string[] {
  const names = Object.keys(
    schedulerSettingsSchema.shape,
  ) as (keyof SchedulerSettings)[];
  return names.filter((name) =>
    JSON.stringify(before[name]) !== JSON.stringify(after[name])
  );
}

/** Minimum CPU cores of a VM that is preferred as the owner; an owner with 246 workers used up to 0.33 cores. */
const PREFERRED_OWNER_CORES = 0.6;
/** Minimum bandwidth of a VM that is preferred as the owner, in Mbit/s: a new owner reads several megabytes of records. */
const PREFERRED_OWNER_LINK_MBPS = 40;
/** Delay before entries on weaker VMs campaign, in ms; all others have campaigned by then. */
const WEAK_CANDIDATE_DELAY_MS = 200;

/** Returns the delay before an entry campaigns, in ms. */
export function resolveCandidateDelayMs(
  { limits }: {
    readonly limits: Pick<SchedulerSettings["limits"], "cores" | "linkMbps">;
  },
): number {
  return limits.cores >= PREFERRED_OWNER_CORES &&
      limits.linkMbps >= PREFERRED_OWNER_LINK_MBPS
    ? 0
    : WEAK_CANDIDATE_DELAY_MS;
}

/** Write calls per second of a store up to which the owner sends one commit at a time. */
const SINGLE_LANE_WRITES_PER_S = 400;
/** Write calls per second of the store for each lane; 1,200 allow six commits in flight, which store 800 records a second at 200 ms per commit. */
const WRITES_PER_S_PER_LANE = 200;

/** Returns the number of commits that the owner may have in flight at a time. */
export function resolveLaneCount(
  { platform: { writesPerS } }: {
    readonly platform: Pick<SchedulerSettings["platform"], "writesPerS">;
  },
): number {
  return writesPerS <= SINGLE_LANE_WRITES_PER_S
    ? 1
    : Math.min(MAXIMUM_LANES, Math.floor(writesPerS / WRITES_PER_S_PER_LANE));
}
