import { build, type Histogram } from "hdr-histogram-js";
import { classKeyOf, type JobSpec, type Size } from "./job.ts";
import { fits } from "./size.ts";
import { UsageDistribution } from "./usage_distribution.ts";

/**
 * Number of runs of a class after which its measured usage replaces the
 * declared size.
 */
const MINIMUM_RUNS = 5;
/** Percentile of the class's usage that is reserved for a job. */
const RESERVED_PERCENTILE = 95;
/** Resolution of the usage of cores, in units per core. */
const UNITS_PER_CORE = 100;
/** Maximum number of classes with a profile; the oldest one is dropped. */
const MAXIMUM_CLASSES = 2_000;

interface UsageProfile {
  readonly cores: UsageDistribution;
  readonly memoryMb: UsageDistribution;
  readonly runTimeMs: Histogram;
}

/** Peak usage and duration of a finished run. */
export interface RunUsage {
  readonly cores: number;
  readonly memoryMb: number;
  readonly runTimeMs: number;
}

/** 95th percentiles of the finished runs of a class. */
export interface ClassProfile {
  readonly team: string;
  readonly jobClass: string;
  readonly runs: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly runTimeMs: number;
}

function createProfile(): UsageProfile {
  return {
    cores: new UsageDistribution(UNITS_PER_CORE),
    memoryMb: new UsageDistribution(1),
    runTimeMs: build({ numberOfSignificantValueDigits: 2, autoResize: true }),
  };
}

/** Measured resource usage of each `(team, jobClass)`. */
export class UsageProfiles {
  #profiles = new Map<string, UsageProfile>();

  /** Adds a successful run. */
  add(spec: Pick<JobSpec, "team" | "jobClass">, use: RunUsage): void {
    const key = classKeyOf(spec);
    let profile = this.#profiles.get(key);
    if (profile === undefined) {
      const oldest = this.#profiles.keys().next().value;
      if (this.#profiles.size >= MAXIMUM_CLASSES && oldest !== undefined) {
        this.#profiles.delete(oldest);
      }
      profile = createProfile();
      this.#profiles.set(key, profile);
    }
    profile.cores.record(use.cores);
    profile.memoryMb.record(use.memoryMb);
    profile.runTimeMs.recordValue(Math.max(0, Math.round(use.runTimeMs)));
  }

  /** Number of classes with a profile. */
  get size(): number {
    return this.#profiles.size;
  }

  /** Returns the classes with the most runs. */
  listMostUsed(count: number): ClassProfile[] {
    return [...this.#profiles]
      .sort(([, a], [, b]) => b.runTimeMs.totalCount - a.runTimeMs.totalCount)
      .slice(0, count)
      .map(([key, { cores, memoryMb, runTimeMs }]) => {
        const [team = "", jobClass = ""] = key.split("/");
        return {
          team,
          jobClass,
          runs: runTimeMs.totalCount,
          cores: cores.atPercentile(RESERVED_PERCENTILE),
          memoryMb: memoryMb.atPercentile(RESERVED_PERCENTILE),
          runTimeMs: runTimeMs.getValueAtPercentile(RESERVED_PERCENTILE),
        };
      });
  }

  /**
   * Returns the resources to reserve for a job: the measured usage of its
   * class, or the declared size until enough runs are known.
   */
  reservationFor(spec: JobSpec, workerSizes: readonly Size[]): Size {
    const { cores, memoryMb, accelerators } = spec;
    const declared = { cores, memoryMb, accelerators };
    const profile = this.#profiles.get(classKeyOf(spec));
    if (profile === undefined || profile.runTimeMs.totalCount < MINIMUM_RUNS) {
      return declared;
    }
    const measuredCores = profile.cores.atPercentile(RESERVED_PERCENTILE);
    const measuredMemoryMb = profile.memoryMb.atPercentile(RESERVED_PERCENTILE);
    const measured = {
      cores: Math.max(1 / UNITS_PER_CORE, measuredCores),
      memoryMb: Math.max(1, measuredMemoryMb),
      accelerators,
    };
    if (workerSizes.some((size) => fits(measured, size))) return measured;
    // Usage that exceeds a worker by at most 2 % did fit that worker, so it is
    // capped at the worker's size.
    const sufficient = workerSizes.find((size) =>
      fits({ ...measured, cores: measured.cores * 0.98 }, {
        ...size,
        memoryMb: size.memoryMb * 1.02,
      })
    );
    return sufficient === undefined ? measured : {
      cores: Math.min(measured.cores, sufficient.cores),
      memoryMb: Math.min(measured.memoryMb, sufficient.memoryMb),
      accelerators,
    };
  }

  /**
   * Returns the 95th percentile of a class's run time, in ms, once enough runs
   * are known.
   */
  runTimeMs(spec: JobSpec): number | undefined {
    const histogram = this.#profiles.get(classKeyOf(spec))?.runTimeMs;
    return histogram === undefined || histogram.totalCount < MINIMUM_RUNS
      ? undefined
      : histogram.getValueAtPercentile(RESERVED_PERCENTILE);
  }
}
