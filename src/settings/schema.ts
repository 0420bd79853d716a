import { z } from "zod";
import { UNREACHABLE_AFTER_MS, WAVE_PAUSE_MS } from "../constants.ts";
import { vmLimitsSchema } from "../connections/connection_limits.ts";
import { platformUrl } from "./platform_url.ts";

const ipAddress = z.ipv4("an IPv4 address");
const listenSchema = z.strictObject({
  host: ipAddress.default("127.0.0.1"),
  /** 0 lets the operating system choose a free port. */
  port: z.number().int().min(0).max(65_535).default(0),
});

/** Schema of the settings of one entry process. */
export const settingsSchema = z.strictObject({
  entryId: z.string().regex(
    /^[A-Za-z0-9-]{1,63}$/,
    "letters, digits and dashes, at most 63",
  ),
  /** Name of the entry's region in the configuration. */
  region: z.string().regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    "a lower-case name of letters, digits and dashes, at most 63 characters",
  ),
  dataCentre: z.string().min(1).max(63),
  listen: z.strictObject({
    callers: listenSchema.prefault({}),
    peers: listenSchema.prefault({}),
    admin: listenSchema.prefault({}),
  }).prefault({}),
  platform: z.strictObject({ storeUrl: platformUrl, vmListUrl: platformUrl }),
  /** Roles of this process: `requests` serves callers, `controller` lets it become the region's fleet controller. */
  roles: z.array(z.enum(["requests", "controller"])).min(1).refine(
    (roles) => new Set(roles).size === roles.length,
    "each role at most once",
  ).default([
    "requests",
    "controller",
  ]),
  limits: z.strictObject({
    maximumBodyBytes: z.number().int().min(1).max(1_073_741_824).default(
      8_388_608,
    ),
    maximumHeaderBytes: z.number().int().min(1_024).max(1_048_576).default(
      16_384,
    ),
    maximumQueuedRequests: z.number().int().min(0).max(1_000_000).default(
      2_000,
    ),
    /** Maximum time for a caller to send a whole request, in ms. */
    requestReadTimeoutMs: z.number().int().min(100).max(600_000).default(
      30_000,
    ),
    ...vmLimitsSchema.shape,
  }).prefault({}),
  /** Must be the same on all entries of a region, because any of them may become its controller. */
  controller: z.strictObject({
    /**
     * Time without a response after which a worker counts as unreachable, in ms.
     * A new controller starts no loan or maintenance until it has monitored the
     * workers for this time. Below 10 s, a single lost report would make a worker
     * unreachable.
     */
    unreachableAfterMs: z.number().int().min(10_000).max(600_000).default(
      UNREACHABLE_AFTER_MS,
    ),
    /**
     * Minimum pause of maintenance after correlated failures, in ms. Prevents a
     * wave from alternating between pausing and draining.
     */
    wavePauseMs: z.number().int().min(5_000).max(86_400_000).default(
      WAVE_PAUSE_MS,
    ),
  }).prefault({}),
  /** Maximum duration of a graceful shutdown, in ms. */
  graceMs: z.number().int().min(0).max(600_000).default(30_000),
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
});

/** Contents of a settings file, before defaults are applied. */
export type UserSettings = z.input<typeof settingsSchema>;
/** Settings with all defaults applied. */
export type ResolvedSettings = z.output<typeof settingsSchema>;
