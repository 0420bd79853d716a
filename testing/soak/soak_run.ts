import type { InvariantChecker } from "../fake_task_workers.ts";
import type { Random } from "../random.ts";

/** Address of a queue or job, and the workspace whose key a request carries. */
export interface Target {
  readonly host: string;
  readonly path: string;
  readonly workspace: string | undefined;
}

/** What callers know about the jobs that they have submitted. */
export interface JobOutcomes {
  /** Targets of the accepted jobs. */
  readonly targetsByJobId: Map<string, Target>;
  readonly refusedJobIds: Set<string>;
  /** Jobs with a task that ends each worker that starts it. */
  readonly deadlyJobIds: Set<string>;
  /** Monotonic time at which each cancellation was acknowledged, in ms, by job id. */
  readonly cancelledAtMs: Map<string, number>;
  /** Number of refusals with status 503, or with status 429 for a workspace. */
  refusalCount: number;
}

/** State that the parts of one soak run share. */
export interface SoakRun {
  /** Source of all random draws of the run. */
  readonly random: Random;
  readonly checker: InvariantChecker;
  readonly outcomes: JobOutcomes;
  /** Whether callers stop submitting and exited entries are not restarted. */
  stopping: boolean;
  /** Returns the time since the start of the run, in whole ms. */
  elapsedMs(): number;
  /** Records a violation of a rule with the time since the start of the run. */
  reportViolation(rule: string, detail: string): void;
}

/** Creates the shared state of a run, which starts now. */
export function createSoakRun(
  { random, checker }: {
    readonly random: Random;
    readonly checker: InvariantChecker;
  },
): SoakRun {
  const startedAtMs = performance.now();
  const elapsedMs = () => Math.round(performance.now() - startedAtMs);
  return {
    random,
    checker,
    outcomes: {
      targetsByJobId: new Map(),
      refusedJobIds: new Set(),
      deadlyJobIds: new Set(),
      cancelledAtMs: new Map(),
      refusalCount: 0,
    },
    stopping: false,
    elapsedMs,
    reportViolation: (rule, detail) =>
      checker.report(rule, `${elapsedMs()} ms: ${detail}`),
  };
}
