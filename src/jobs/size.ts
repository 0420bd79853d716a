import type { Size } from "./job.ts";

/** Nothing of any resource. */
export const ZERO_SIZE: Size = { cores: 0, memoryMb: 0, accelerators: 0 };

const TOLERANCE = 1e-6;

/** Returns the sum of two sizes; a negative factor subtracts the second. */
export function addSize(a: Size, b: Size, factor = 1): Size {
  return {
    cores: a.cores + factor * b.cores,
    memoryMb: a.memoryMb + factor * b.memoryMb,
    accelerators: a.accelerators + factor * b.accelerators,
  };
}

/** Whether the needed size fits into the room in every resource. */
export function fits(needed: Size, room: Size): boolean {
  return needed.cores <= room.cores + TOLERANCE &&
    needed.memoryMb <= room.memoryMb + TOLERANCE &&
    needed.accelerators <= room.accelerators;
}
