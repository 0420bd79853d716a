/** Duration from which on the end of a long-running task's run doesn't count against its task or its worker, in ms. */
export const LASTING_RUN_MS = 5_000;
/** Delay after the second of several short runs in a row, in ms; it doubles with each further one. */
const FIRST_DELAY_MS = 100;
/** Longest delay, in ms: a task that is away for 6 s counts as lost. */
const MAXIMUM_DELAY_MS = 3_200;

/** The end of a long-running task's run, for which no order is the reason. */
export interface OwnEnd {
  /** Number of short runs before this one, in a row. */
  readonly shortRuns: number;
  /** Duration of the run in ms; undefined if an earlier owner started it. */
  readonly durationMs: number | undefined;
}

/** Returns how long the next run of a long-running task is delayed, in ms, and the number of short runs in a row. */
export function computeRestartDelay(
  { shortRuns, durationMs }: OwnEnd,
): { readonly delayMs: number; readonly shortRuns: number } {
  if (durationMs !== undefined && durationMs >= LASTING_RUN_MS) {
    return { delayMs: 0, shortRuns: 0 };
  }
  return {
    delayMs: shortRuns === 0
      ? 0
      : Math.min(MAXIMUM_DELAY_MS, FIRST_DELAY_MS * 2 ** (shortRuns - 1)),
    shortRuns: shortRuns + 1,
  };
}
