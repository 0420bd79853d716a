import { createRandom } from "../../testing/random.ts";

/** Number of groups of services that surge in turn, one group at a time. */
const SURGE_GROUPS = 5;
/** Demand between surges, relative to the mean. */
const IDLE_FACTOR = 1 / 20;
/** Demand during a surge, relative to the mean; chosen so that the mean over all groups is 1. */
const SURGE_FACTOR = SURGE_GROUPS - (SURGE_GROUPS - 1) * IDLE_FACTOR;
/** Shortest and longest duration of a surge, in s. */
const SURGE_DURATION_RANGE_S = [4, 9] as const;
/** Amplitude of the daily cycle, relative to the mean. */
const DAILY_AMPLITUDE = 0.5;
/** Time constant, in s, of the mean-reverting drift of each service. */
const DRIFT_TIME_CONSTANT_S = 1_800;
/** Standard deviation of the drift, relative to the mean. */
const DRIFT_STANDARD_DEVIATION = 0.25;
/** Lower bound of the drift, relative to the mean. */
const MINIMUM_DRIFT = 0.2;
const DAY_S = 86_400;

/** Demand over time, relative to the mean of each service. */
export interface DemandSeries {
  /** Advances by one second and returns the relative demand of each service. The array is reused by the next call. */
  next(): readonly number[];
}

/** Creates a seeded series that combines surges of several seconds, drift over minutes and a daily cycle. */
export function createDemandSeries(
  serviceCount: number,
  options: { seed: number; surges: boolean },
): DemandSeries {
  const { seed, surges } = options;
  const random = createRandom(seed).next;
  // The sum of 12 uniform numbers approximates a normal distribution.
  const randomNormal = () => {
    let sum = -6;
    for (let index = 0; index < 12; index++) sum += random();
    return sum;
  };
  const phases = Array.from({ length: serviceCount }, random);
  const drifts = phases.map(() =>
    1 + DRIFT_STANDARD_DEVIATION * randomNormal()
  );
  const demand = phases.map(() => 0);
  const gain = 1 / DRIFT_TIME_CONSTANT_S;
  const step = DRIFT_STANDARD_DEVIATION * Math.sqrt(2 * gain);
  let second = 0;
  let surgingGroup = 0;
  let surgeEndS = 0;
  return {
    next() {
      if (second >= surgeEndS) {
        surgingGroup = (surgingGroup + 1) % SURGE_GROUPS;
        surgeEndS = second + SURGE_DURATION_RANGE_S[0] +
          random() * (SURGE_DURATION_RANGE_S[1] - SURGE_DURATION_RANGE_S[0]);
      }
      for (let index = 0; index < serviceCount; index++) {
        const drift = drifts[index] ?? 1;
        drifts[index] = drift + gain * (1 - drift) + step * randomNormal();
        const daily = 1 +
          DAILY_AMPLITUDE *
            Math.sin(2 * Math.PI * (second / DAY_S + (phases[index] ?? 0)));
        const surgeFactor = index % SURGE_GROUPS === surgingGroup
          ? SURGE_FACTOR
          : IDLE_FACTOR;
        const surge = surges ? surgeFactor : 1;
        demand[index] = daily * Math.max(MINIMUM_DRIFT, drift) * surge;
      }
      second++;
      return demand;
    },
  };
}
