import { type Operation, scoped, sleep, spawn } from "effection";
import { type Clock, systemClock } from "./clock.ts";
import { messageOf } from "./errors.ts";
import type { Logger } from "./logger.ts";

/** A supervised component. */
export interface Component {
  readonly name: string;
  /** Runs until it is halted; returning or throwing counts as a failure. */
  readonly run: () => Operation<void>;
}

/** State of a supervised component, as shown in the dump. */
export interface ComponentStatus {
  readonly name: string;
  readonly restarts: number;
  readonly lastFailure: string | undefined;
}

/** Delay before the first restart of a component, in ms. */
const FIRST_RESTART_DELAY_MS = 100;
/** Maximum delay before a restart, in ms. */
const MAXIMUM_RESTART_DELAY_MS = 5_000;
/** Run time after which the restart delay of a component is reset, in ms. */
const STABLE_RUN_MS = 30_000;

/** Runs components and restarts those that fail, with exponential backoff. */
export interface Supervisor {
  /** Starts a component in the current scope. */
  start(component: Component): Operation<void>;
  status(): readonly ComponentStatus[];
}

/** Creates a supervisor without components; `clock` measures their run time. */
export function createSupervisor(
  log: Logger,
  clock: Clock = systemClock,
): Supervisor {
  const statuses = new Map<string, ComponentStatus>();

  function* superviseComponent(component: Component): Operation<void> {
    let delayMs = FIRST_RESTART_DELAY_MS;
    for (let restarts = 0;; restarts++) {
      const startedAtMs = clock.monotonicMs();
      let failure = "the component returned";
      try {
        // Confines failures of tasks that the component has spawned.
        yield* scoped(component.run);
      } catch (error) {
        failure = messageOf(error);
      }
      if (clock.monotonicMs() - startedAtMs > STABLE_RUN_MS) {
        delayMs = FIRST_RESTART_DELAY_MS;
      }
      statuses.set(component.name, {
        name: component.name,
        restarts: restarts + 1,
        lastFailure: failure,
      });
      log.error("part failed and will be restarted", {
        part: component.name,
        failure,
        delayMs,
      });
      yield* sleep(delayMs);
      delayMs = Math.min(delayMs * 2, MAXIMUM_RESTART_DELAY_MS);
    }
  }

  return {
    *start(component) {
      statuses.set(component.name, {
        name: component.name,
        restarts: 0,
        lastFailure: undefined,
      });
      yield* spawn(() => superviseComponent(component));
    },
    status: () => [...statuses.values()],
  };
}
