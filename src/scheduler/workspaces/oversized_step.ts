import type { Step } from "../model.ts";
import type { Resources } from "../ports.ts";

/**
 * Describes the first step that an upper bound can never hold: one whose task
 * is larger, or whose gang is, as its tasks start together; undefined if there
 * is none. A bound of 0 is no limit.
 */
export function describeOversizedStep(
  steps: readonly Step[],
  upperBound: Resources,
): string | undefined {
  const exceeds = (demand: number, bound: number) =>
    bound > 0 && demand > bound;
  const index = steps.findIndex((step) => {
    const count = step.gang ? step.taskCount : 1;
    return exceeds(step.cpuMillis * count, upperBound.cpuMillis) ||
      exceeds(step.memoryMb * count, upperBound.memoryMb) ||
      exceeds(step.gpuCount * count, upperBound.gpuCount);
  });
  if (index < 0) return undefined;
  const unit = steps[index]!.gang ? "the gang" : "one task";
  return `${unit} of step ${index} exceeds the workspace's upper bound`;
}
