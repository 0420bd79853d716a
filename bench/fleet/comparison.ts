import type { ResolvedConfig } from "../../src/config/schema.ts";
import { type Deployment, type Weighting, WEIGHTINGS } from "./deployments.ts";
import {
  runSimulation,
  type SimulationOptions,
  type SimulationResult,
} from "./run.ts";
import { STRATEGIES, type Strategy } from "./strategies.ts";

/** Highest share of late work at which a load counts as sustained. */
const MAXIMUM_LATE_SHARE = 0.001;
/** Number of bisection steps of the search for the highest load. */
const SEARCH_STEPS = 7;
/** Range of the search, as a share of the slots of each pool. */
const LOWEST_LOAD = 0.02;
const HIGHEST_LOAD = 0.95;

/** Demand under which the strategies are compared. */
export interface Experiment {
  readonly name: string;
  /** If true, services surge and pools overflow to each other; if false, demand only drifts and overflow is off. */
  readonly surges: boolean;
  /** Load at which all strategies are compared, as a share of the slots of each pool; defaults to the threshold strategy's highest load. */
  readonly commonLoad?: number;
}

/** Results of one strategy in one experiment. */
export interface ComparisonRow {
  readonly strategy: Strategy["name"];
  readonly weighting: Weighting | undefined;
  /** Highest load, as a share of the slots of each pool, at which no more than `MAXIMUM_LATE_SHARE` of the work is late. */
  readonly highestLoad: number;
  /** Ratio of idle to needed slots at `highestLoad`. */
  readonly buffer: number;
  /** Load at which the strategies are compared, as a share of the slots of each pool. */
  readonly commonLoad: number;
  /** Share of the work that was late at `commonLoad`. */
  readonly lateShare: number;
  /** Moves between pools per VM and day at `commonLoad`. */
  readonly movesPerVmDay: number;
  /** Number of invariant violations in all runs of the strategy. */
  readonly violations: number;
  /** Mean duration of a planning step at `commonLoad`, in ms. */
  readonly planMeanMs: number;
}

/** Durations of a simulation run, in s. */
export interface RunTimes {
  readonly planningIntervalS: number;
  readonly warmUpS: number;
  readonly measuredS: number;
}

interface Variant {
  readonly strategy: Strategy;
  readonly weighting: Weighting | undefined;
}

function listVariants(surges: boolean): Variant[] {
  return STRATEGIES.flatMap((strategy): Variant[] => {
    if (strategy.name === "policy") {
      return [
        { strategy, weighting: "buffer" },
        { strategy, weighting: "moves" },
      ];
    }
    const needsOverflow = strategy.name === "static, overflow";
    return needsOverflow && !surges ? [] : [{ strategy, weighting: undefined }];
  });
}

function configureVariant(
  config: ResolvedConfig,
  variant: Variant,
  surges: boolean,
): ResolvedConfig {
  const pools = config.pools.map((pool) => ({
    ...pool,
    lending: { ...pool.lending, overflow: surges && pool.lending.overflow },
  }));
  // The threshold strategy uses the buffer weighting, which smooths demand over a shorter time.
  const weights = WEIGHTINGS[variant.weighting ?? "buffer"];
  return { ...config, pools, weights };
}

/** Finds the highest load that a strategy sustains, by bisection. */
function findHighestLoad(base: Omit<SimulationOptions, "load">) {
  let low = LOWEST_LOAD;
  let high = HIGHEST_LOAD;
  let best: SimulationResult | undefined;
  let violations = 0;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const load = (low + high) / 2;
    const result = runSimulation({ ...base, load });
    violations += result.violations;
    if (result.lateShare <= MAXIMUM_LATE_SHARE) {
      low = load;
      best = result;
    } else high = load;
  }
  return { load: low, buffer: best?.buffer ?? Infinity, violations };
}

/** Compares the strategies on one deployment under the same demand series; returns one row per strategy and weighting. */
export function compareStrategies(options: {
  deployment: Deployment;
  experiment: Experiment;
  seed: number;
  times: RunTimes;
}): ComparisonRow[] {
  const { deployment, experiment, seed, times } = options;
  const { surges } = experiment;
  const searchResults = listVariants(surges).map((variant) => {
    const base = {
      deployment,
      config: configureVariant(deployment.config, variant, surges),
      strategy: {
        ...variant.strategy,
        overflow: surges && variant.strategy.overflow,
      },
      seed,
      surges,
      ...times,
    };
    return { variant, base, highest: findHighestLoad(base) };
  });
  const threshold = searchResults.find(({ variant }) =>
    variant.strategy.name === "threshold"
  );
  const commonLoad = experiment.commonLoad ?? threshold?.highest.load ?? 0;
  return searchResults.map(({ variant, base, highest }) => {
    const result = runSimulation({ ...base, load: commonLoad });
    return {
      strategy: variant.strategy.name,
      weighting: variant.weighting,
      highestLoad: highest.load,
      buffer: highest.buffer,
      commonLoad,
      lateShare: result.lateShare,
      movesPerVmDay: result.movesPerVmDay,
      violations: highest.violations + result.violations,
      planMeanMs: result.planMeanMs,
    };
  });
}
