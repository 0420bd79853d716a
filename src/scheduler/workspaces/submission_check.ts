import { StoreError } from "../../errors.ts";
import type { Logger } from "../../logger.ts";
import type { JobSpec } from "../model.ts";
import { isLargeJob } from "../overload/job_memory.ts";
import { STORE_KEYS } from "../ownership.ts";
import type { RecordStore, SchedulerConfig } from "../ports.ts";
import type { AdmissionDecision } from "./admission.ts";
import { describeOversizedStep } from "./oversized_step.ts";

/** Retry time of a job that its workspace's upper bound can't hold, in ms; only a change of the configuration helps. */
const QUOTA_RETRY_AFTER_MS = 60_000;
const REFUSAL_TEXTS = {
  share: "the workspace sends more than it is owed while the pool is full",
  overload: "the pool can't finish the job in time",
  memory: "the owner has no memory for the job until others end",
} as const;

/** Whether a job may be stored; a refusal says that it isn't stored and will never run. */
export type SubmissionVerdict =
  | { readonly kind: "admitted"; readonly excess: boolean }
  | {
    readonly kind: "refused";
    readonly cause: "share" | "overload" | "memory" | "quota";
    readonly reason: string;
    /** Time after which the caller should return, in ms. */
    readonly retryAfterMs: number;
  };

/** Checks jobs before an entry stores them. */
export interface SubmissionCheck {
  /** Notes that the owner has no memory for more jobs; until it has, it is asked about each. */
  onOwnerFull(): void;
  check(spec: JobSpec, requestId: string): Promise<SubmissionVerdict>;
}

/** Dependencies of the submission check. */
export interface SubmissionCheckOptions {
  readonly store: Pick<RecordStore, "get">;
  readonly log: Logger;
  readonly config: () => SchedulerConfig | undefined;
  /** Asks the owner for its decision; undefined if it doesn't answer. */
  readonly askOwner: (spec: JobSpec) => Promise<AdmissionDecision | undefined>;
  /** Whether the owner also decides about jobs without a workspace. */
  readonly rejectUnattainable: boolean;
}

/** Creates the submission check of an entry. */
export function createSubmissionCheck(
  { store, log, config, askOwner, rejectUnattainable }: SubmissionCheckOptions,
): SubmissionCheck {
  /** Whether the owner had no memory for more jobs when it was last asked. */
  let isOwnerFull = false;

  function findOversizedStep(spec: JobSpec): string | undefined {
    const workspace = config()?.workspaces?.find(({ name }) =>
      name === spec.workspace
    );
    return workspace && describeOversizedStep(spec.steps, workspace.upperBound);
  }

  async function decide(spec: JobSpec): Promise<SubmissionVerdict> {
    const oversized = findOversizedStep(spec);
    if (oversized !== undefined) {
      return {
        kind: "refused",
        cause: "quota",
        reason: oversized,
        retryAfterMs: QUOTA_RETRY_AFTER_MS,
      };
    }
    const decision = await askOwner(spec);
    // Without an answer the job is admitted, because the owner orders jobs by share and time left anyway.
    if (decision === undefined) return { kind: "admitted", excess: false };
    if (decision.kind === "admitted") return decision;
    const { reason, retryAfterMs } = decision;
    return {
      kind: "refused",
      cause: reason,
      reason: REFUSAL_TEXTS[reason],
      retryAfterMs,
    };
  }

  /** Whether it is known that no earlier attempt has stored the job. */
  async function isKnownAbsent(spec: JobSpec): Promise<boolean> {
    try {
      return await store.get(STORE_KEYS.jobPrefix + spec.jobId) === undefined;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      return false;
    }
  }

  return {
    onOwnerFull() {
      isOwnerFull = true;
    },
    async check(spec, requestId) {
      if (
        spec.workspace === "" && !rejectUnattainable && !isOwnerFull &&
        !isLargeJob(spec)
      ) {
        return { kind: "admitted", excess: false };
      }
      const verdict = await decide(spec);
      isOwnerFull = verdict.kind === "refused" && verdict.cause === "memory";
      if (verdict.kind === "admitted") return verdict;
      if (!await isKnownAbsent(spec)) {
        return { kind: "admitted", excess: false };
      }
      log.info("job refused", {
        request: requestId,
        job: spec.jobId,
        queue: spec.queue,
        workspace: spec.workspace,
        cause: verdict.cause,
        reason: verdict.reason,
        retryAfterMs: verdict.retryAfterMs,
      });
      return verdict;
    },
  };
}
