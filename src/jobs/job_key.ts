import { randomBytes } from "node:crypto";

/** Number of shards of a region. */
export const SHARD_COUNT = 16;
/** Time for which a key is valid, in ms. */
export const JOB_KEY_LIFETIME_MS = 86_400_000;
/** Largest difference between the clocks of two entries, in ms. */
export const CLOCK_SKEW_MS = 300_000;

const KEY_PATTERN = /^([0-9a-f])-([0-9a-z]{6,10})-([0-9a-f]{16})$/;

/** What a job key names. */
export interface JobKey {
  readonly key: string;
  readonly shard: number;
  /** Wall-clock time of issue, in ms. */
  readonly issuedAtMs: number;
}

/** Issues a key for a random shard; the key becomes the job's id. */
export function issueJobKey(nowMs: number): JobKey {
  const random = randomBytes(9);
  const shard = random[8]! % SHARD_COUNT;
  const issuedAtMs = Math.floor(nowMs);
  const key = `${shard.toString(16)}-${issuedAtMs.toString(36)}-${
    random.toString("hex", 0, 8)
  }`;
  return { key, shard, issuedAtMs };
}

/** Parses a key; returns undefined for anything that no entry issues. */
export function parseJobKey(key: string): JobKey | undefined {
  const match = KEY_PATTERN.exec(key);
  if (match === null) return undefined;
  return {
    key,
    shard: Number.parseInt(match[1]!, 16),
    issuedAtMs: Number.parseInt(match[2]!, 36),
  };
}

/** Whether a key can still be used to submit. */
export function isKeyValid(key: JobKey, nowMs: number): boolean {
  const ageMs = nowMs - key.issuedAtMs;
  return ageMs >= -CLOCK_SKEW_MS && ageMs < JOB_KEY_LIFETIME_MS;
}
