import { z } from "zod";
import { ValidationError } from "../errors.ts";
import { listSchemaIssues, parseJson } from "../validation.ts";

const address = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "an IPv4 address with a port, such as 10.0.0.1:7000",
);

/** Settings of a scheduler process; unknown fields are ignored, as the platform may add some. */
export const schedulerSettingsSchema = z.object({
  entryId: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  listen: z.object({
    callers: address,
    readiness: address,
    /** Calls of other entries, metrics and the state dump. */
    peers: address,
  }),
  /** Peer addresses of a few entries, which may be out of date. */
  seedPeers: z.array(address).default([]),
  platform: z.object({
    storeAddress: address,
    vmApiAddress: address,
    adviceAddress: z.union([address, z.literal("")]).default(""),
  }),
  limits: z.object({
    /** Processors that this VM may use, such as 0.675. */
    cores: z.number().positive().default(1),
    /** Bandwidth of its link, in Mbit/s. */
    linkMbps: z.number().positive().default(1_000),
  }).prefault({}),
  bounds: z.object({
    /** Time between the stop signal and the kill, in seconds. */
    graceS: z.number().positive().default(6),
    /** Time for which the state of an ended job can be asked for, in seconds. */
    keepEndedS: z.number().positive().default(120),
    /** Time between the orders of two owners for one VM, in ms. */
    holderGapMs: z.number().min(0).default(3_000),
  }).prefault({}),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
});

export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;

/** Parses and checks settings; throws a `ValidationError` that lists every problem. */
export function resolveSchedulerSettings(
  text: string,
  source: string,
): SchedulerSettings {
  const data = parseJson(text, source);
  const issues = listSchemaIssues(schedulerSettingsSchema, data);
  if (issues.length > 0) throw new ValidationError(source, issues);
  return schedulerSettingsSchema.parse(data);
}

/** Names of the top-level settings that differ. */
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

/** Processors from which an entry VM counts as fit to be the owner; one used up to 0.33 with 246 workers. */
const OWNER_CORES = 0.6;
/** Bandwidth from which it does, in Mbit/s: a new owner reads some megabytes of records. */
const OWNER_LINK_MBPS = 40;
/** Delay of entries on weaker VMs in an election, in ms; the others have all tried by then. */
const WEAK_CANDIDATE_DELAY_MS = 200;

/** Time for which an entry lets others go first in an election, in ms. */
export function resolveCandidateDelayMs(
  { limits }: Pick<SchedulerSettings, "limits">,
): number {
  return limits.cores >= OWNER_CORES && limits.linkMbps >= OWNER_LINK_MBPS
    ? 0
    : WEAK_CANDIDATE_DELAY_MS;
}
