/** Result of a finished run, kept for some time to attribute failures. */
export interface RunResult {
  readonly vmId: string;
  /** Class key of the job: its team and job class. */
  readonly jobClass: string;
  readonly succeeded: boolean;
  /** Wall-clock time at which the result was recorded, in ms. */
  readonly atMs: number;
}

/** Input for the attribution of a failed run. */
export interface FailureInput {
  readonly vmId: string;
  /** Class key of the job: its team and job class. */
  readonly jobClass: string;
  /** Workers on which the job has failed, including `vmId`. */
  readonly failedOn: readonly string[];
  /** Whether the fleet record shows the worker in a transition. */
  readonly inTransition: boolean;
  /** Number of workers of the same rack that were lost recently. */
  readonly lostWorkersInRack: number;
  readonly recentResults: readonly RunResult[];
  readonly isQuarantined: (vmId: string) => boolean;
}

/**
 * Whether a failure is attributed to the worker, the job or neither, and why.
 */
export interface FailureAttribution {
  readonly kind: "worker" | "job" | "neither" | "undecided";
  readonly reason: string;
}

/**
 * Number of lost workers in a rack from which a failure there counts as
 * correlated.
 */
const CORRELATED_LOSSES = 2;
/**
 * Number of healthy workers on which a job must fail before the failures are
 * attributed to it.
 */
const HEALTHY_FAILURES = 3;

/** Decides whether a failed run is attributed to its worker or to its job. */
export function attributeFailure(input: FailureInput): FailureAttribution {
  const { vmId, jobClass, recentResults } = input;
  if (input.inTransition) {
    return { kind: "neither", reason: "the worker is in a transition" };
  }
  if (input.lostWorkersInRack >= CORRELATED_LOSSES) {
    return { kind: "neither", reason: "the rack lost several workers" };
  }
  const otherClassFailedHere = recentResults.some((result) =>
    result.vmId === vmId && !result.succeeded && result.jobClass !== jobClass
  );
  const succeededElsewhere = recentResults.some((result) =>
    result.vmId !== vmId && result.succeeded && result.jobClass === jobClass
  );
  if (otherClassFailedHere && succeededElsewhere) {
    const reason = "other classes fail there and this one succeeds elsewhere";
    return { kind: "worker", reason };
  }
  const healthy = new Set(
    input.failedOn.filter((id) =>
      !input.isQuarantined(id) &&
      recentResults.some((result) => result.vmId === id && result.succeeded)
    ),
  );
  if (healthy.size >= HEALTHY_FAILURES) {
    return { kind: "job", reason: "it failed on 3 healthy workers" };
  }
  return { kind: "undecided", reason: "not enough runs are known" };
}
