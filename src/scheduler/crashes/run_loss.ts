import { z } from "zod";

/** A run that was lost with its worker. */
export const runLossSchema = z.object({
  run: z.number().int(),
  worker: z.string(),
  /** Start time of the worker instance, in ms since 1970. */
  born: z.number(),
  vm: z.string(),
  /** Whether the run had just started, or its start was never confirmed. */
  young: z.boolean(),
  /** Whether the worker had confirmed the start. */
  confirmed: z.boolean(),
  /** Whether every other run on the worker had been running for a while. */
  alone: z.boolean(),
  /** Whether the worker's process is known to have ended; it may only have been unreachable. */
  proven: z.boolean(),
});

export type RunLoss = z.infer<typeof runLossSchema>;

/** What the losses of a task say about it. */
export type Verdict =
  | "none"
  /** It may have ended a worker; its next run gets a worker of its own. */
  | "suspect"
  /** It is given up, and its job fails; a long-running task is delayed instead and remains a suspect. */
  | "give_up";

/** Time after which a run that its worker has survived is no longer suspected, in ms. */
export const YOUNG_RUN_MS = 100;
/** Time after which a long-running task is cleared of earlier losses, in ms. */
export const CLEARED_AFTER_MS = 10_000;
/** Number of losses of runs that had just started, or may never have, after which a task is given up whatever their other circumstances. */
export const MAXIMUM_LOSSES = 4;
/** Number of losses after a confirmed start, as a young run, after which a task is given up. */
const MAXIMUM_YOUNG_LOSSES = 3;

/**
 * Judges a task by its losses. Two crashes suffice if both hit a young run and
 * the latest one hit no other: the runs beside it had been harmless. A start that
 * was never confirmed may have been sent to a worker that was already down, so
 * that it counts only towards the total. A run that had lasted proves that its task
 * can run; without a failed run, such losses are no reason to fail the job.
 */
export function judgeTask(losses: readonly RunLoss[]): Verdict {
  const latest = losses.at(-1);
  if (latest === undefined) return "none";
  const proven = losses.filter((loss) => loss.proven);
  const blamed = proven.filter((loss) => loss.young || !loss.confirmed);
  const young = blamed.filter((loss) => loss.confirmed);
  const last = proven.at(-1);
  const isolated = last !== undefined && last.young && last.confirmed &&
    last.alone;
  if (
    blamed.length >= MAXIMUM_LOSSES ||
    young.length >= MAXIMUM_YOUNG_LOSSES ||
    (isolated && young.length >= 2)
  ) return "give_up";
  return latest.young || losses.length >= 2 ? "suspect" : "none";
}
