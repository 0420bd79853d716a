import process from "node:process";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded random numbers. */
export interface Random {
  /** A number from 0 up to, but not including, 1. */
  next(): number;
  /** A whole number from 0 up to, but not including, `limit`. */
  nextInteger(limit: number): number;
  /** An exponentially distributed number with this mean. */
  exponential(mean: number): number;
}

/** Creates a generator; the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = () => uniformFloat64(generator);
  return {
    next,
    nextInteger: (limit) => Math.floor(next() * limit),
    exponential: (mean) => -Math.log(1 - next()) * mean,
  };
}

/** Returns the seed from `SEED`, or a new one if it isn't a number, and prints it so that a run can be repeated. */
export function chooseSeed(): number {
  const given = Number(process.env.SEED);
  const seed = Number.isInteger(given) && given > 0
    ? given
    : Math.floor(Math.random() * 0x7fff_ffff) + 1;
  console.log(`seed ${seed}`);
  return seed;
}

/** Derives a seed of its own for a named part of a run. */
export function deriveSeed(seed: number, name: string): number {
  let hash = seed;
  for (const character of name) {
    hash = (Math.imul(hash, 31) + (character.codePointAt(0) ?? 0)) | 0;
  }
  return hash;
}
