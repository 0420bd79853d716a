import type { Size } from "./job.ts";

/** Zero of every resource. */
export const ZERO_SIZE: Size = { cores: 0, memoryMb: 0, accelerators: 0 };

/** Rounding error that is tolerated, in cores and in MB. */
const TOLERANCE = 1e-6;

/** Returns `a + factor * b` for every resource. */
export function addSize(a: Size, b: Size, factor = 1): Size {
  return {
    cores: a.cores + factor * b.cores,
    memoryMb: a.memoryMb + factor * b.memoryMb,
    accelerators: a.accelerators + factor * b.accelerators,
  };
}

/** Returns whether the needed amount of every resource is available. */
export function fits(needed: Size, available: Size): boolean {
  return needed.cores <= available.cores + TOLERANCE &&
    needed.memoryMb <= available.memoryMb + TOLERANCE &&
    needed.accelerators <= available.accelerators;
}
