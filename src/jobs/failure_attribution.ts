/** One finished run, kept for a while to find out what makes runs fail. */
export interface RunResult {
  readonly vmId: string;
  /** Team and class of the job. */
  readonly jobClass: string;
  readonly succeeded: boolean;
  readonly atMs: number;
}

/** What a failure is judged on. */
export interface FailureInput {
  readonly vmId: string;
  readonly jobClass: string;
  /** Workers on which the job has failed, this one included. */
  readonly failedOn: readonly string[];
  /** Whether the fleet record shows the worker in a transition. */
  readonly inTransition: boolean;
  /** Workers of the same rack that were lost recently. */
  readonly lostWorkersInRack: number;
  readonly recentResults: readonly RunResult[];
  readonly isQuarantined: (vmId: string) => boolean;
}

/** What a failure counts against, with the reason. */
export interface FailureAttribution {
  readonly kind: "worker" | "job" | "neither" | "undecided";
  readonly reason: string;
}

/** Workers lost in a rack from which on a failure counts as correlated. */
const CORRELATED_LOSSES = 2;
/** Healthy workers on which a job must fail to be at fault. */
const HEALTHY_FAILURES = 3;

/** Judges one failed run. */
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
