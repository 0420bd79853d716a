import { randomBytes } from "node:crypto";

/** Number of job shards per region. */
export const SHARD_COUNT = 16;
/** Validity of a job key, in ms. */
export const JOB_KEY_LIFETIME_MS = 86_400_000;
/** Maximum clock skew that is tolerated between two entries, in ms. */
export const CLOCK_SKEW_MS = 300_000;

const KEY_PATTERN = /^([0-9a-f])-([0-9a-z]{6,10})-([0-9a-f]{16})$/;

/** Parsed job key. */
export interface JobKey {
  readonly key: string;
  readonly shard: number;
  /** Wall-clock time at which the key was issued, in ms. */
  readonly issuedAtMs: number;
}

/**
 * Issues a key for a random shard. The key becomes the id of the job submitted
 * with it.
 */
export function issueJobKey(nowMs: number): JobKey {
  const random = randomBytes(9);
  const shard = random[8]! % SHARD_COUNT;
  const issuedAtMs = Math.floor(nowMs);
  const key = `${shard.toString(16)}-${issuedAtMs.toString(36)}-${
    random.toString("hex", 0, 8)
  }`;
  return { key, shard, issuedAtMs };
}

/**
 * Parses a job key. Returns undefined if the text doesn't have the format of an
 * issued key.
 */
export function parseJobKey(key: string): JobKey | undefined {
  const match = KEY_PATTERN.exec(key);
  if (match === null) return undefined;
  return {
    key,
    shard: Number.parseInt(match[1]!, 16),
    issuedAtMs: Number.parseInt(match[2]!, 36),
  };
}

/** Returns whether a key can still be used to submit a job. */
export function isKeyValid(key: JobKey, nowMs: number): boolean {
  const ageMs = nowMs - key.issuedAtMs;
  return ageMs >= -CLOCK_SKEW_MS && ageMs < JOB_KEY_LIFETIME_MS;
}
