/** One finished run, kept for a while to find out what makes runs fail. */
export interface RunEvent {
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
  readonly lostInRack: number;
  readonly events: readonly RunEvent[];
  readonly isQuarantined: (vmId: string) => boolean;
}

/** What a failure counts against, with the reason. */
export interface Blame {
  readonly kind: "worker" | "job" | "neither" | "undecided";
  readonly reason: string;
}

/** Workers lost in a rack from which on a failure counts as correlated. */
const CORRELATED_LOSSES = 2;
/** Healthy workers on which a job must fail to be at fault. */
const HEALTHY_FAILURES = 3;

/** Judges one failed run. */
export function blameFailure(input: FailureInput): Blame {
  const { vmId, jobClass, events } = input;
  if (input.inTransition) {
    return { kind: "neither", reason: "the worker is in a transition" };
  }
  if (input.lostInRack >= CORRELATED_LOSSES) {
    return { kind: "neither", reason: "the rack lost several workers" };
  }
  const otherFailsHere = events.some((event) =>
    event.vmId === vmId && !event.succeeded && event.jobClass !== jobClass
  );
  const worksElsewhere = events.some((event) =>
    event.vmId !== vmId && event.succeeded && event.jobClass === jobClass
  );
  if (otherFailsHere && worksElsewhere) {
    const reason = "other classes fail there and this one succeeds elsewhere";
    return { kind: "worker", reason };
  }
  const healthy = new Set(
    input.failedOn.filter((id) =>
      !input.isQuarantined(id) &&
      events.some((event) => event.vmId === id && event.succeeded)
    ),
  );
  if (healthy.size >= HEALTHY_FAILURES) {
    return { kind: "job", reason: "it failed on 3 healthy workers" };
  }
  return { kind: "undecided", reason: "not enough runs are known" };
}
