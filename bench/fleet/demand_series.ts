import { createRandom } from "../../testing/random.ts";

/** Services take turns: each surges for one part in this many. */
const TURNS = 5;
/** Demand between surges, over the mean. */
const BETWEEN_SURGES = 1 / 20;
/** Demand during a surge, over the mean; keeps the mean at 1. */
const SURGE = TURNS - (TURNS - 1) * BETWEEN_SURGES;
/** Shortest and longest turn, in s. */
const TURN_S = [4, 9] as const;
/** Amplitude of the daily curve. */
const DAILY_AMPLITUDE = 0.5;
/** Time constant, in s, and spread of the drift over minutes. */
const DRIFT_S = 1_800;
const DRIFT_SPREAD = 0.25;
const LOWEST_DRIFT = 0.2;
const DAY_S = 86_400;

/** Demand over time, relative to each service's mean. */
export interface DemandSeries {
  /** Moves on by one second and returns each service's demand over its mean. */
  next(): readonly number[];
}

/** Creates a seeded series: surges of some seconds in turn, drift over minutes, a daily curve. */
export function createDemandSeries(
  serviceCount: number,
  options: { seed: number; surges: boolean },
): DemandSeries {
  const { seed, surges } = options;
  const random = createRandom(seed).next;
  // The sum of 12 uniform numbers is close to a normal distribution.
  const normal = () => {
    let sum = -6;
    for (let index = 0; index < 12; index++) sum += random();
    return sum;
  };
  const phases = Array.from({ length: serviceCount }, random);
  const drifts = phases.map(() => 1 + DRIFT_SPREAD * normal());
  const demand = phases.map(() => 0);
  const gain = 1 / DRIFT_S;
  const step = DRIFT_SPREAD * Math.sqrt(2 * gain);
  let second = 0;
  let turn = 0;
  let turnEndS = 0;
  return {
    next() {
      if (second >= turnEndS) {
        turn = (turn + 1) % TURNS;
        turnEndS = second + TURN_S[0] + random() * (TURN_S[1] - TURN_S[0]);
      }
      for (let index = 0; index < serviceCount; index++) {
        const drift = drifts[index] ?? 1;
        drifts[index] = drift + gain * (1 - drift) + step * normal();
        const daily = 1 +
          DAILY_AMPLITUDE *
            Math.sin(2 * Math.PI * (second / DAY_S + (phases[index] ?? 0)));
        const inTurn = index % TURNS === turn ? SURGE : BETWEEN_SURGES;
        const surge = surges ? inTurn : 1;
        demand[index] = daily * Math.max(LOWEST_DRIFT, drift) * surge;
      }
      second++;
      return demand;
    },
  };
}
