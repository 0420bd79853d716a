import { createHash, randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { CONFIG_KEY } from "../constants.ts";
import { StoreError } from "../errors.ts";
import type { Store, SwapRequest } from "../platform/store.ts";
import { type ConfigChange, diffConfigs } from "./diff.ts";
import { parseAppliedConfig } from "./follower.ts";
import type { AppliedConfig, ResolvedConfig } from "./schema.ts";

/** Why a configuration was not applied. */
export type ConflictReason = "concurrent_apply" | "unexpected_revision";

/** Result of applying a configuration. */
export type ApplyResult =
  | { readonly kind: "accepted"; readonly applied: AppliedConfig }
  /** The configuration equals the one in force; nothing was written. */
  | { readonly kind: "unchanged"; readonly applied: AppliedConfig }
  /** The write took effect, and a later apply has replaced it since. */
  | {
    readonly kind: "superseded";
    readonly applied: AppliedConfig;
    readonly current: AppliedConfig;
  }
  /** Nothing was written; `changes` lead from the current configuration to the one that was to be applied. */
  | {
    readonly kind: "conflict";
    readonly reason: ConflictReason;
    /** Revision that the apply was based on. */
    readonly baseRevision: number;
    readonly current: AppliedConfig | undefined;
    readonly changes: readonly ConfigChange[];
  }
  /** The store's answer was lost and reading again could not tell whether the write took effect. */
  | {
    readonly kind: "undetermined";
    readonly applyId: string;
    readonly revision: number;
    readonly reason: string;
  };

/** Options of an apply. */
export interface ApplyOptions {
  /** Revision that must be in force; 0 when none may be. */
  readonly expectedRevision?: number;
  /** Delays before each attempt to find out whether a write with a lost answer took effect, in ms. */
  readonly resolveDelaysMs?: readonly number[];
}

/** Number of earlier applies that the store's value lists. */
const MAXIMUM_PREVIOUS_APPLIES = 32;
const RESOLVE_DELAYS_MS = [100, 250, 500, 1_000, 2_000, 3_000, 3_000];

interface StoredConfig {
  readonly version: number;
  readonly applied: AppliedConfig | undefined;
}

async function readConfig(store: Store): Promise<StoredConfig> {
  const entry = await store.get(CONFIG_KEY);
  return entry === undefined
    ? { version: 0, applied: undefined }
    : { version: entry.version, applied: parseAppliedConfig(entry.value) };
}

function createApplied(
  config: ResolvedConfig,
  previous: AppliedConfig | undefined,
): AppliedConfig {
  return {
    revision: (previous?.revision ?? 0) + 1,
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
    current: AppliedConfig | undefined;
    config: ResolvedConfig;
  },
): ApplyResult {
  const { baseRevision, current, config } = options;
  const changes = diffConfigs(current?.config, config);
  return { kind: "conflict", reason, baseRevision, current, changes };
}

interface SentWrite {
  readonly request: SwapRequest;
  readonly applied: AppliedConfig;
}

/** Judges from a value read later whether a write took effect; undefined while the value may be the one before it. */
function judgeWrite(
  { request, applied }: SentWrite,
  stored: StoredConfig,
): ApplyResult | undefined {
  const { revision, applyId, config } = applied;
  const current = stored.applied;
  if (stored.version <= request.expectedVersion || current === undefined) {
    return undefined;
  }
  if (current.applyId === applyId) return { kind: "accepted", applied };
  const previous = (current.previousApplies ?? [])
    .find((item) => item.revision === revision);
  if (previous?.applyId === applyId) {
    return { kind: "superseded", applied, current };
  }
  // The expected version has passed, so the write can't take effect later either.
  if (current.revision <= revision || previous !== undefined) {
    return createConflict("concurrent_apply", {
      baseRevision: revision - 1,
      current,
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

function isOutage(error: unknown): boolean {
  return error instanceof StoreError && error.failure !== "rejected";
}

/**
 * Finds out whether a write with a lost answer took effect. Repeating the write is safe: it has the
 * same expected version, so that at most one of the two takes effect.
 */
async function resolveLostAnswer(
  store: Store,
  write: SentWrite,
  delaysMs: readonly number[],
): Promise<ApplyResult> {
  const { request, applied } = write;
  let reason = "the store's answer was lost";
  for (const delayMs of delaysMs) {
    await delay(delayMs);
    try {
      const judged = judgeWrite(write, await readConfig(store));
      if (judged !== undefined) return judged;
      const repeated = await store.compareAndSwap(request);
      if (repeated.kind === "swapped") return { kind: "accepted", applied };
      reason = "the store shows a value older than its version";
    } catch (error) {
      if (!isOutage(error)) throw error;
      reason = `the store's answer was lost, then: ${
        (error as StoreError).message
      }`;
    }
  }
  const { applyId, revision } = applied;
  return { kind: "undetermined", applyId, revision, reason };
}

/** Writes the value that was read once more, as the read may have shown an older value; returns whether it was the latest. */
async function confirmLatest(
  store: Store,
  stored: StoredConfig,
): Promise<boolean> {
  const result = await store.compareAndSwap({
    key: CONFIG_KEY,
    expectedVersion: stored.version,
    value: JSON.stringify(stored.applied),
  });
  return result.kind === "swapped";
}

async function writeOnce(
  store: Store,
  write: SentWrite,
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
    return await resolveLostAnswer(store, write, resolveDelaysMs);
  }
}

/** Applies a configuration as the next revision; rejects with a `StoreError` when nothing was written. */
export async function applyConfig(
  store: Store,
  config: ResolvedConfig,
  options: ApplyOptions = {},
): Promise<ApplyResult> {
  const { expectedRevision, resolveDelaysMs = RESOLVE_DELAYS_MS } = options;
  const stored = await readConfig(store);
  const current = stored.applied;
  const baseRevision = current?.revision ?? 0;
  const isUnchanged = current !== undefined &&
    JSON.stringify(current.config) === JSON.stringify(config);
  if (isUnchanged && await confirmLatest(store, stored)) {
    return { kind: "unchanged", applied: current };
  }
  if (
    !isUnchanged && expectedRevision !== undefined &&
    expectedRevision !== baseRevision
  ) {
    return createConflict("unexpected_revision", {
      baseRevision: expectedRevision,
      current,
      config,
    });
  }
  if (!isUnchanged) {
    const applied = createApplied(config, current);
    const request = {
      key: CONFIG_KEY,
      expectedVersion: stored.version,
      value: JSON.stringify(applied),
    };
    const result = await writeOnce(
      store,
      { request, applied },
      resolveDelaysMs,
    );
    if (result !== undefined) return result;
  }
  const latest = await readConfig(store).catch(() => stored);
  return createConflict("concurrent_apply", {
    baseRevision,
    current: latest.applied,
    config,
  });
}
