import { type Operation, scoped, sleep, spawn } from "effection";
import { type Clock, systemClock } from "./clock.ts";
import { messageOf } from "./errors.ts";
import type { Logger } from "./logger.ts";

/** One part under supervision. */
export interface Component {
  readonly name: string;
  /** Runs until it is halted; returning or throwing counts as a failure. */
  readonly run: () => Operation<void>;
}

/** State of a supervised part, as shown in the dump. */
export interface ComponentStatus {
  readonly name: string;
  readonly restarts: number;
  readonly lastFailure: string | undefined;
}

/** Delay before the first restart of a part, in ms. */
const FIRST_RESTART_DELAY_MS = 100;
/** Longest delay between restarts of a part, in ms. */
const MAXIMUM_RESTART_DELAY_MS = 5_000;
/** A part that ran this long restarts with the first delay again, in ms. */
const STABLE_RUN_MS = 30_000;

/** Runs parts and restarts each that fails, with exponential backoff. */
export interface Supervisor {
  /** Starts a part in the current scope. */
  start(component: Component): Operation<void>;
  status(): readonly ComponentStatus[];
}

/** Creates a supervisor. */
export function createSupervisor(
  log: Logger,
  clock: Clock = systemClock,
): Supervisor {
  const statuses = new Map<string, ComponentStatus>();

  function* superviseComponent(component: Component): Operation<void> {
    let delayMs = FIRST_RESTART_DELAY_MS;
    for (let restarts = 0;; restarts++) {
      const startedAtMs = clock.monotonicMs();
      let failure = "the part returned";
      try {
        // The scope contains failures of tasks that the part has spawned.
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
