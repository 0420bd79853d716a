import { createHash, randomUUID } from "node:crypto";
import { CONFIG_KEY } from "../constants.ts";
import type { Store } from "../platform/store.ts";
import { parseAppliedConfig } from "./follower.ts";
import type { AppliedConfig, ResolvedConfig } from "./schema.ts";

/** Result of applying a configuration. */
export type ApplyResult =
  | { readonly kind: "accepted"; readonly applied: AppliedConfig }
  | { readonly kind: "conflict"; readonly current: AppliedConfig | undefined };

/** Writes a configuration as the next revision; rejects with a `StoreError`. */
export async function applyConfig(
  store: Store,
  config: ResolvedConfig,
): Promise<ApplyResult> {
  const entry = await store.get(CONFIG_KEY);
  const current = entry === undefined
    ? undefined
    : parseAppliedConfig(entry.value);
  const applied: AppliedConfig = {
    revision: (current?.revision ?? 0) + 1,
    applyId: randomUUID(),
    appliedAtMs: Date.now(),
    digest: createHash("sha256").update(JSON.stringify(config)).digest("hex"),
    config,
  };
  const result = await store.compareAndSwap({
    key: CONFIG_KEY,
    expectedVersion: entry?.version ?? 0,
    value: JSON.stringify(applied),
  });
  return result.kind === "swapped"
    ? { kind: "accepted", applied }
    : { kind: "conflict", current };
}
