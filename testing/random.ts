import process from "node:process";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded pseudorandom number generator. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, `limit`). */
  nextInteger(limit: number): number;
  /** Returns an exponentially distributed number with a mean. */
  exponential(mean: number): number;
}

/** Creates a generator; equal seeds produce equal sequences. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = () => uniformFloat64(generator);
  return {
    next,
    nextInteger: (limit) => Math.floor(next() * limit),
    exponential: (mean) => -Math.log(1 - next()) * mean,
  };
}

/**
 * Returns the seed from the environment variable `SEED`, or a random one if that isn't a positive integer.
 * Prints it so that the run can be reproduced.
 */
export function chooseSeed(): number {
  const given = Number(process.env.SEED);
  const seed = Number.isInteger(given) && given > 0
    ? given
    : Math.floor(Math.random() * 0x7fff_ffff) + 1;
  console.log(`seed ${seed}`);
  return seed;
}

/** Derives the seed for a named part of a run; equal arguments give equal seeds. */
export function deriveSeed(seed: number, name: string): number {
  let hash = seed;
  for (const character of name) {
    hash = (Math.imul(hash, 31) + (character.codePointAt(0) ?? 0)) | 0;
  }
  return hash;
}
