import { createHash, randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { CONFIG_KEY } from "../constants.ts";
import {
  assertNever,
  StoreError,
  TaggedError,
  ValidationError,
} from "../errors.ts";
import type { Store, SwapRequest } from "../ports/store.ts";
import { type ConfigChange, diffConfigs } from "./diff.ts";
import { parseAppliedConfig } from "./follower.ts";
import {
  checkRevisions,
  type RevisionBounds,
  StoreBehindError,
} from "./revision_check.ts";
import { parseJson } from "../validation.ts";
import {
  type AppliedConfig,
  appliedConfigSchema,
  type ResolvedConfig,
} from "./schema.ts";

/** Why a configuration was not applied. */
export type ConflictReason = "concurrent_apply" | "unexpected_revision";

/** Result of applying a configuration. */
export type ApplyResult =
  /** The write took effect; `applied` is the new active configuration. */
  | { readonly kind: "accepted"; readonly applied: AppliedConfig }
  /** The configuration equals the active one; nothing was written. */
  | { readonly kind: "unchanged"; readonly applied: AppliedConfig }
  /** The write succeeded, but a later apply has replaced it since. */
  | {
    readonly kind: "superseded";
    readonly applied: AppliedConfig;
    readonly currentRevision: number;
  }
  /** Nothing was written; `changes` lists the differences between the current configuration and the requested one. */
  | {
    readonly kind: "conflict";
    readonly reason: ConflictReason;
    /** Revision that the apply was based on. */
    readonly baseRevision: number;
    /** Active revision; 0 if there is none. */
    readonly currentRevision: number;
    readonly changes: readonly ConfigChange[];
  }
  /** The store's response was lost, and reading the value again did not show whether the write took effect. */
  | {
    readonly kind: "undetermined";
    readonly applyId: string;
    readonly revision: number;
    readonly reason: string;
  };

/** Options of an apply. */
export interface ApplyOptions extends RevisionBounds {
  /** Revision that must be active; 0 requires that no configuration is stored. */
  readonly expectedRevision?: number;
  /** Delays before each attempt to resolve a write whose response was lost, in ms. */
  readonly resolveDelaysMs?: readonly number[];
}

/** Number of earlier applies that the stored value lists. */
const MAXIMUM_PREVIOUS_APPLIES = 32;
/** Default delays before the attempts to resolve a write whose response was lost, in ms; about 10 s in total. */
const RESOLVE_DELAYS_MS = [100, 250, 500, 1_000, 2_000, 3_000, 3_000];

/** Thrown when this version of the program can't parse the stored configuration, for example one of a newer version. */
export class UnreadableConfigError extends TaggedError<"unreadable_config"> {
  readonly kind = "unreadable_config";

  constructor(readonly revision: number, reason: string) {
    super(
      `Stored configuration revision ${revision} is unreadable (${reason}); ` +
        `apply with --expect-revision ${revision} to replace it`,
    );
  }
}

const headerSchema = appliedConfigSchema.pick({
  revision: true,
  applyId: true,
  previousApplies: true,
});
type ConfigHeader = Pick<
  AppliedConfig,
  "revision" | "applyId" | "previousApplies"
>;

interface StoredConfig {
  /** Version of the value in the store; 0 if nothing is stored. */
  readonly version: number;
  /** Fields that can be read even if the configuration itself can't be parsed. */
  readonly header: ConfigHeader | undefined;
  readonly config: ResolvedConfig | undefined;
  /** The stored value as it was read. */
  readonly text: string;
  /** Why the configuration can't be parsed. */
  readonly unreadableReason?: string;
}

function parseStored(version: number, text: string): StoredConfig {
  try {
    const applied = parseAppliedConfig(text);
    return { version, header: applied, config: applied.config, text };
  } catch (error) {
    const header = error instanceof ValidationError
      ? headerSchema.safeParse(parseJson(text, CONFIG_KEY)).data
      : undefined;
    if (header === undefined) throw error;
    const unreadableReason = (error as ValidationError).message;
    return { version, header, config: undefined, text, unreadableReason };
  }
}

async function readConfig(store: Store): Promise<StoredConfig> {
  const entry = await store.get(CONFIG_KEY);
  return entry === undefined
    ? { version: 0, header: undefined, config: undefined, text: "" }
    : parseStored(entry.version, entry.value);
}

function createAppliedConfig(
  config: ResolvedConfig,
  previous: ConfigHeader | undefined,
  baseRevision: number,
): AppliedConfig {
  return {
    revision: baseRevision + 1,
    applyId: randomUUID(),
    appliedAtMs: Date.now(),
    digest: createHash("sha256").update(JSON.stringify(config)).digest("hex"),
    config,
    previousApplies: previous === undefined ? [] : [
      { revision: previous.revision, applyId: previous.applyId },
      ...(previous.previousApplies ?? []),
    ].slice(0, MAXIMUM_PREVIOUS_APPLIES),
  };
}

function createConflict(
  reason: ConflictReason,
  options: {
    baseRevision: number;
    stored: StoredConfig;
    config: ResolvedConfig;
  },
): ApplyResult {
  const { baseRevision, stored, config } = options;
  return {
    kind: "conflict",
    reason,
    baseRevision,
    currentRevision: stored.header?.revision ?? 0,
    changes: diffConfigs(stored.config, config),
  };
}

interface PendingWrite {
  readonly request: SwapRequest;
  readonly applied: AppliedConfig;
}

/** Determines from a later read whether a write took effect; undefined while the read may still show the previous value. */
function determineOutcome(
  { request, applied }: PendingWrite,
  stored: StoredConfig,
): ApplyResult | undefined {
  const { revision, applyId, config } = applied;
  const current = stored.header;
  if (stored.version <= request.expectedVersion || current === undefined) {
    return undefined;
  }
  if (current.applyId === applyId) return { kind: "accepted", applied };
  const previous = (current.previousApplies ?? [])
    .find((item) => item.revision === revision);
  if (previous?.applyId === applyId) {
    return {
      kind: "superseded",
      applied,
      currentRevision: current.revision,
    };
  }
  // The store is past the expected version, so the write can't take effect later either.
  if (current.revision <= revision || previous !== undefined) {
    return createConflict("concurrent_apply", {
      baseRevision: applied.previousApplies?.[0]?.revision ?? 0,
      stored,
      config,
    });
  }
  return {
    kind: "undetermined",
    applyId,
    revision,
    reason: `revision ${current.revision} is in force and no longer lists ` +
      `the apply that wrote revision ${revision}`,
  };
}

function isRetryable(error: unknown): boolean {
  return error instanceof StoreError && error.failure !== "rejected";
}

/**
 * Resolves a write whose response was lost. Retrying the write is safe: both attempts expect the same
 * version, so at most one of them takes effect.
 */
async function resolveUnknownOutcome(
  store: Store,
  write: PendingWrite,
  delaysMs: readonly number[],
): Promise<ApplyResult> {
  const { request, applied } = write;
  let reason = "the store's answer was lost";
  for (const delayMs of delaysMs) {
    await delay(delayMs);
    try {
      const outcome = determineOutcome(write, await readConfig(store));
      if (outcome !== undefined) return outcome;
      const retried = await store.compareAndSwap(request);
      if (retried.kind === "swapped") return { kind: "accepted", applied };
      reason = "the store returned a stale value";
    } catch (error) {
      if (!isRetryable(error)) throw error;
      reason = `the store's answer was lost, then: ${
        (error as StoreError).message
      }`;
    }
  }
  const { applyId, revision } = applied;
  return { kind: "undetermined", applyId, revision, reason };
}

/** Writes the value back as it was read, since the read may have been stale; returns whether it was the latest. */
async function confirmLatest(
  store: Store,
  stored: StoredConfig,
): Promise<boolean> {
  const result = await store.compareAndSwap({
    key: CONFIG_KEY,
    expectedVersion: stored.version,
    value: stored.text,
  });
  return result.kind === "swapped";
}

async function writeOnce(
  store: Store,
  write: PendingWrite,
  resolveDelaysMs: readonly number[],
): Promise<ApplyResult | undefined> {
  try {
    const result = await store.compareAndSwap(write.request);
    return result.kind === "swapped"
      ? { kind: "accepted", applied: write.applied }
      : undefined;
  } catch (error) {
    if (!(error instanceof StoreError) || error.failure !== "unknown_outcome") {
      throw error;
    }
    return await resolveUnknownOutcome(store, write, resolveDelaysMs);
  }
}

function isSameConfig(stored: StoredConfig, config: ResolvedConfig): boolean {
  return stored.config !== undefined &&
    JSON.stringify(stored.config) === JSON.stringify(config);
}

/** Returns a conflict if the active revision isn't the expected one. */
function checkExpectedRevision(
  stored: StoredConfig,
  config: ResolvedConfig,
  expectedRevision: number | undefined,
): ApplyResult | undefined {
  const revision = stored.header?.revision ?? 0;
  if (expectedRevision === undefined) {
    if (stored.unreadableReason === undefined) return undefined;
    throw new UnreadableConfigError(revision, stored.unreadableReason);
  }
  return expectedRevision === revision ? undefined : createConflict(
    "unexpected_revision",
    { baseRevision: expectedRevision, stored, config },
  );
}

/** Returns the revision to increment, or a conflict if the store is above `aboveRevision`; throws a `StoreBehindError`. */
async function checkBaseRevision(
  store: Store,
  stored: StoredConfig,
  options: { config: ResolvedConfig; bounds: RevisionBounds },
): Promise<ApplyResult | { kind: "proceed"; base: number }> {
  const { config, bounds } = options;
  const storeRevision = stored.header?.revision ?? 0;
  const check = checkRevisions(storeRevision, bounds);
  switch (check.kind) {
    case "proceed":
      return check;
    case "store_ahead":
      return createConflict("unexpected_revision", {
        baseRevision: check.aboveRevision,
        stored,
        config,
      });
    case "behind":
      // The read may have been stale.
      if (stored.version > 0 && !await confirmLatest(store, stored)) {
        return await createConcurrentApplyConflict(store, stored, config);
      }
      throw new StoreBehindError(storeRevision, check.highestKnown);
    default:
      return assertNever(check);
  }
}

async function createConcurrentApplyConflict(
  store: Store,
  stored: StoredConfig,
  config: ResolvedConfig,
): Promise<ApplyResult> {
  return createConflict("concurrent_apply", {
    baseRevision: stored.header?.revision ?? 0,
    stored: await readConfig(store).catch(() => stored),
    config,
  });
}

/** Applies a configuration as the next revision; rejects with a `StoreError`, a `StoreBehindError` or an `UnreadableConfigError` if nothing was written. */
export async function applyConfig(
  store: Store,
  config: ResolvedConfig,
  options: ApplyOptions = {},
): Promise<ApplyResult> {
  const { expectedRevision, resolveDelaysMs = RESOLVE_DELAYS_MS } = options;
  const stored = await readConfig(store);
  const storeRevision = stored.header?.revision ?? 0;
  const knownRevision = options.highestKnown?.revision ?? 0;
  const isCurrent =
    storeRevision >= Math.max(knownRevision, options.aboveRevision ?? 0);
  if (isCurrent && isSameConfig(stored, config)) {
    return await confirmLatest(store, stored)
      ? { kind: "unchanged", applied: parseAppliedConfig(stored.text) }
      : await createConcurrentApplyConflict(store, stored, config);
  }
  const unexpected = checkExpectedRevision(stored, config, expectedRevision);
  if (unexpected !== undefined) return unexpected;
  const checked = await checkBaseRevision(store, stored, {
    config,
    bounds: options,
  });
  if (checked.kind !== "proceed") return checked;
  const applied = createAppliedConfig(config, stored.header, checked.base);
  const request = {
    key: CONFIG_KEY,
    expectedVersion: stored.version,
    value: JSON.stringify(applied),
  };
  const write = { request, applied };
  const result = await writeOnce(store, write, resolveDelaysMs);
  return result ?? await createConcurrentApplyConflict(store, stored, config);
}
