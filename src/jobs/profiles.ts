import { build, type Histogram } from "hdr-histogram-js";
import { classKeyOf, type JobSpec, type Size } from "./job.ts";
import { fits } from "./size.ts";

/** Runs of a class after which its learned use replaces the declared size. */
const MINIMUM_RUNS = 5;
/** Percentile of a class's use that a job reserves. */
const RESERVED_PERCENTILE = 95;
/** Fractions of a core are recorded as hundredths. */
const CORE_UNITS = 100;
/** Classes that are remembered at most. */
const MAXIMUM_CLASSES = 2_000;

interface Profile {
  readonly coreUnits: Histogram;
  readonly memoryMb: Histogram;
  readonly runTimeMs: Histogram;
}

/** Peak use and duration of one finished run. */
export interface RunUse {
  readonly cores: number;
  readonly memoryMb: number;
  readonly runTimeMs: number;
}

/** What is learned of one class: 95th percentiles of its finished runs. */
export interface ClassProfile {
  readonly team: string;
  readonly jobClass: string;
  readonly runs: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly runTimeMs: number;
}

function createHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 2, autoResize: true });
}

/** Learned use of each `(team, jobClass)`. */
export class Profiles {
  #profiles = new Map<string, Profile>();

  /** Adds a run that succeeded. */
  add(spec: Pick<JobSpec, "team" | "jobClass">, use: RunUse): void {
    const key = classKeyOf(spec);
    let profile = this.#profiles.get(key);
    if (profile === undefined) {
      const oldest = this.#profiles.keys().next().value;
      if (this.#profiles.size >= MAXIMUM_CLASSES && oldest !== undefined) {
        this.#profiles.delete(oldest);
      }
      profile = {
        coreUnits: createHistogram(),
        memoryMb: createHistogram(),
        runTimeMs: createHistogram(),
      };
      this.#profiles.set(key, profile);
    }
    profile.coreUnits.recordValue(Math.ceil(use.cores * CORE_UNITS));
    profile.memoryMb.recordValue(Math.ceil(use.memoryMb));
    profile.runTimeMs.recordValue(Math.max(0, Math.round(use.runTimeMs)));
  }

  /** Number of known classes. */
  get size(): number {
    return this.#profiles.size;
  }

  /** Returns the classes with the most runs. */
  largest(count: number): ClassProfile[] {
    const at = (histogram: Histogram) =>
      histogram.getValueAtPercentile(RESERVED_PERCENTILE);
    return [...this.#profiles]
      .sort(([, a], [, b]) => b.memoryMb.totalCount - a.memoryMb.totalCount)
      .slice(0, count)
      .map(([key, { coreUnits, memoryMb, runTimeMs }]) => {
        const [team = "", jobClass = ""] = key.split("/");
        return {
          team,
          jobClass,
          runs: memoryMb.totalCount,
          cores: at(coreUnits) / CORE_UNITS,
          memoryMb: at(memoryMb),
          runTimeMs: at(runTimeMs),
        };
      });
  }

  /** Returns what a job reserves; `largest` are the sizes of the pool's workers. */
  reservation(spec: JobSpec, largest: readonly Size[]): Size {
    const { cores, memoryMb, accelerators } = spec;
    const declared = { cores, memoryMb, accelerators };
    const profile = this.#profiles.get(classKeyOf(spec));
    if (profile === undefined || profile.memoryMb.totalCount < MINIMUM_RUNS) {
      return declared;
    }
    const at = (histogram: Histogram) =>
      histogram.getValueAtPercentile(RESERVED_PERCENTILE);
    const learned = {
      cores: Math.max(1, at(profile.coreUnits)) / CORE_UNITS,
      memoryMb: Math.max(1, at(profile.memoryMb)),
      accelerators,
    };
    if (largest.some((size) => fits(learned, size))) return learned;
    // The histogram rounds up; a use that a worker has carried fits that worker.
    const carried = largest.find((size) =>
      fits({ ...learned, cores: learned.cores * 0.98 }, {
        ...size,
        memoryMb: size.memoryMb * 1.02,
      })
    );
    return carried === undefined ? learned : {
      cores: Math.min(learned.cores, carried.cores),
      memoryMb: Math.min(learned.memoryMb, carried.memoryMb),
      accelerators,
    };
  }

  /** Returns the 95th percentile of a class's run time, in ms, once enough runs are known. */
  runTimeMs(spec: JobSpec): number | undefined {
    const histogram = this.#profiles.get(classKeyOf(spec))?.runTimeMs;
    return histogram === undefined || histogram.totalCount < MINIMUM_RUNS
      ? undefined
      : histogram.getValueAtPercentile(RESERVED_PERCENTILE);
  }
}
