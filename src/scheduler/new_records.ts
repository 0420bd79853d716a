import { assertNever, StoreError } from "../errors.ts";
import type { JobSpec } from "./model.ts";
import { STORE_KEYS } from "./ownership.ts";
import type { RecordStore } from "./ports.ts";
import { withdrawalKey } from "./withdrawals.ts";
import { describeStoredJob } from "./workspaces/stored_workspace.ts";

/** Outcome of an attempt to store a job. */
export type JobRecordOutcome =
  | { readonly kind: "stored"; readonly revision: number }
  /** The job was stored before. */
  | { readonly kind: "existing" }
  /** Another workspace has a job with this ID. */
  | { readonly kind: "foreign" }
  /** The job was cancelled before it was stored. */
  | { readonly kind: "withdrawn" };

/** Stores a job unless it exists or was withdrawn; rejects with a `StoreError`. */
export async function storeJobRecord(
  store: Pick<RecordStore, "change">,
  spec: JobSpec,
): Promise<JobRecordOutcome> {
  const key = STORE_KEYS.jobPrefix + spec.jobId;
  const outcome = await store.change({
    conditions: [
      { key, revision: 0 },
      { key: withdrawalKey(spec), revision: 0 },
    ],
    puts: [{ key, value: JSON.stringify(spec) }],
  });
  switch (outcome.kind) {
    case "committed":
      return { kind: "stored", revision: outcome.revision };
    case "conflict": {
      const present = outcome.items.filter(({ revision }) => revision > 0);
      const job = present.find((item) => item.key === key);
      if (job !== undefined) {
        return { kind: describeStoredJob(job, spec.workspace) };
      }
      if (present.length > 0) return { kind: "withdrawn" };
      throw new StoreError(
        "unknown_outcome",
        "The store reports a conflict with none of the keys",
      );
    }
    case "lease_ended":
      throw new StoreError("unknown_outcome", "The store names a lease");
    default:
      return assertNever(outcome);
  }
}

/** Stores a record unless its key exists; rejects with a `StoreError`. */
export async function storeAbsentRecord(
  store: Pick<RecordStore, "change">,
  { key, value }: { readonly key: string; readonly value: string },
): Promise<"stored" | "existing"> {
  const outcome = await store.change({
    conditions: [{ key, revision: 0 }],
    puts: [{ key, value }],
  });
  switch (outcome.kind) {
    case "committed":
      return "stored";
    case "conflict":
      return "existing";
    case "lease_ended":
      throw new StoreError("unknown_outcome", "The store names a lease");
    default:
      return assertNever(outcome);
  }
}
