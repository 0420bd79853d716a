import { z } from "zod";
import { parseJson, parseWithSchema } from "../validation.ts";
import { JobRefusedError } from "./errors.ts";
import { type Job, jobSchema } from "./job.ts";
import { CLOCK_SKEW_MS, JOB_KEY_LIFETIME_MS } from "./job_key.ts";

/** Version of the shard's schema that this program reads and writes. */
export const SHARD_SCHEMA_VERSION = 1;
/** Size up to which a shard takes jobs, in bytes; below the store's limit of 1,000,000. */
const MAXIMUM_SHARD_BYTES = 950_000;
/** Room kept for what a job's record gains while it is run, in bytes. */
const GROWTH_BYTES = 300;
/** Time after which a full shard may have room again, in ms. */
const SHARD_FULL_RETRY_MS = 30_000;

const shardSchema = z.object({
  schemaVersion: z.literal(SHARD_SCHEMA_VERSION),
  /** Names the write, by which a lost response is resolved. */
  writeId: z.string(),
  /** Token under which the shard's dispatcher sends commands. */
  fencingToken: z.number().int(),
  jobs: z.array(jobSchema),
});

/** One shard with its jobs by id. */
export interface ShardRecord {
  readonly writeId: string;
  readonly fencingToken: number;
  readonly jobs: ReadonlyMap<string, Job>;
}

/** Store key of a shard; also the name of its lease. */
export function shardKey(region: string, shard: number): string {
  return `jobs/${region}/${shard}`;
}

/** Creates the record of a shard that has none yet. */
export function createShardRecord(): ShardRecord {
  return { writeId: "", fencingToken: 0, jobs: new Map() };
}

/** Parses a stored shard; throws a `ValidationError`, also for an unknown schema version. */
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

/** Formats a shard for the store. */
export function formatShard(record: ShardRecord): string {
  return JSON.stringify({
    schemaVersion: SHARD_SCHEMA_VERSION,
    writeId: record.writeId,
    fencingToken: record.fencingToken,
    jobs: [...record.jobs.values()],
  });
}

const sizes = new WeakMap<Job, number>();

/** Returns the bytes that a job takes, with room for what is still added to it. */
function reservedBytes(job: Job): number {
  let bytes = sizes.get(job);
  if (bytes === undefined) {
    bytes = Buffer.byteLength(JSON.stringify(job)) + 1 +
      (job.state.kind === "ended" ? 0 : GROWTH_BYTES);
    sizes.set(job, bytes);
  }
  return bytes;
}

/** Changes to a shard that become one write. */
export class ShardDraft {
  readonly jobs: Map<string, Job>;
  #fencingToken: number;
  #changed = false;
  #bytes: number | undefined;

  constructor(base: ShardRecord, readonly nowMs: number) {
    this.jobs = new Map(base.jobs);
    this.#fencingToken = base.fencingToken;
  }

  get changed(): boolean {
    return this.#changed;
  }

  /** Adds a new job; throws a `JobRefusedError` when the shard is full. */
  add(job: Job): void {
    this.#bytes ??= [...this.jobs.values()].reduce(
      (sum, known) => sum + reservedBytes(known),
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

  /** Replaces a job; one that has ended stays as it is. */
  replace(job: Job): void {
    const known = this.jobs.get(job.id);
    if (known === undefined || known === job || known.state.kind === "ended") {
      return;
    }
    this.#set(job);
  }

  setFencingToken(token: number): void {
    this.#fencingToken = token;
    this.#changed = true;
  }

  /** Drops ended jobs whose key can no longer be submitted by any entry's clock. */
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

  build(writeId: string): ShardRecord {
    return { writeId, fencingToken: this.#fencingToken, jobs: this.jobs };
  }

  #set(job: Job): void {
    this.jobs.set(job.id, job);
    this.#changed = true;
  }
}
