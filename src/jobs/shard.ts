import { z } from "zod";
import { parseJson, parseWithSchema } from "../validation.ts";
import { JobRefusedError } from "./errors.ts";
import { type Job, jobSchema } from "./job.ts";
import { CLOCK_SKEW_MS, JOB_KEY_LIFETIME_MS } from "./job_key.ts";

/** Version of the shard schema that is read and written. */
export const SHARD_SCHEMA_VERSION = 1;
/**
 * Maximum size of a shard record, in bytes; below the store's limit of
 * 1,000,000.
 */
const MAXIMUM_SHARD_BYTES = 950_000;
/**
 * Space reserved for the growth of a job's record while the job runs, in bytes.
 */
const GROWTH_BYTES = 300;
/** Retry hint for a full shard, in ms. */
const SHARD_FULL_RETRY_MS = 30_000;

const shardSchema = z.object({
  schemaVersion: z.literal(SHARD_SCHEMA_VERSION),
  /**
   * Unique id of the write. If the response of a write is lost, it shows
   * whether the write took effect.
   */
  writeId: z.string(),
  /** Fencing token with which the shard's dispatcher sends commands. */
  fencingToken: z.number().int(),
  jobs: z.array(jobSchema),
});

/** Parsed shard record, with its jobs by id. */
export interface ShardRecord {
  readonly writeId: string;
  readonly fencingToken: number;
  readonly jobs: ReadonlyMap<string, Job>;
}

/** Returns the store key of a shard, which is also the name of its lease. */
export function shardKey(region: string, shard: number): string {
  return `jobs/${region}/${shard}`;
}

/** Creates an empty record for a shard that isn't stored yet. */
export function createShardRecord(): ShardRecord {
  return { writeId: "", fencingToken: 0, jobs: new Map() };
}

/**
 * Parses a stored shard. Throws a `ValidationError` if it is malformed or has
 * an unknown schema version.
 */
export function parseShard(text: string): ShardRecord {
  const data = parseJson(text, "job shard");
  const { writeId, fencingToken, jobs } = parseWithSchema(
    shardSchema,
    data,
    "job shard",
  );
  return {
    writeId,
    fencingToken,
    jobs: new Map(jobs.map((job) => [job.id, job])),
  };
}

/** Serializes a shard for the store. */
export function formatShard(record: ShardRecord): string {
  return JSON.stringify({
    schemaVersion: SHARD_SCHEMA_VERSION,
    writeId: record.writeId,
    fencingToken: record.fencingToken,
    jobs: [...record.jobs.values()],
  });
}

const reservedBytesByJob = new WeakMap<Job, number>();

/**
 * Returns the size of a job's record in bytes, including the space reserved for
 * its growth.
 */
function reservedBytes(job: Job): number {
  let bytes = reservedBytesByJob.get(job);
  if (bytes === undefined) {
    bytes = Buffer.byteLength(JSON.stringify(job)) + 1 +
      (job.state.kind === "ended" ? 0 : GROWTH_BYTES);
    reservedBytesByJob.set(job, bytes);
  }
  return bytes;
}

/** Mutable copy of a shard that collects the changes of one write. */
export class ShardDraft {
  readonly jobs: Map<string, Job>;
  #fencingToken: number;
  #changed = false;
  #bytes: number | undefined;

  constructor(base: ShardRecord, readonly nowMs: number) {
    this.jobs = new Map(base.jobs);
    this.#fencingToken = base.fencingToken;
  }

  /** Whether a change was made that has to be written. */
  get changed(): boolean {
    return this.#changed;
  }

  /** Adds a new job. Throws a `JobRefusedError` if the shard is full. */
  add(job: Job): void {
    this.#bytes ??= [...this.jobs.values()].reduce(
      (sum, existing) => sum + reservedBytes(existing),
      0,
    );
    if (this.#bytes + reservedBytes(job) > MAXIMUM_SHARD_BYTES) {
      throw new JobRefusedError(
        "shard_full",
        "The shard of this key is full",
        SHARD_FULL_RETRY_MS,
      );
    }
    this.#bytes += reservedBytes(job);
    this.#set(job);
  }

  /** Replaces a job. Does nothing if the stored job has already ended. */
  replace(job: Job): void {
    const existing = this.jobs.get(job.id);
    if (
      existing === undefined || existing === job ||
      existing.state.kind === "ended"
    ) {
      return;
    }
    this.#set(job);
  }

  setFencingToken(token: number): void {
    this.#fencingToken = token;
    this.#changed = true;
  }

  /**
   * Removes ended jobs whose keys have expired by the clock of every entry, so
   * that they can't be submitted again.
   */
  dropExpired(): void {
    for (const job of this.jobs.values()) {
      const ageMs = this.nowMs - job.issuedAtMs;
      if (
        job.state.kind === "ended" && ageMs > JOB_KEY_LIFETIME_MS +
            CLOCK_SKEW_MS
      ) {
        this.jobs.delete(job.id);
        this.#changed = true;
      }
    }
  }

  /** Returns the record to write, with the id of the write. */
  build(writeId: string): ShardRecord {
    return { writeId, fencingToken: this.#fencingToken, jobs: this.jobs };
  }

  #set(job: Job): void {
    this.jobs.set(job.id, job);
    this.#changed = true;
  }
}
