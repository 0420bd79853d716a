import type { Server } from "node:http";
import { type Operation, race, sleep, until } from "effection";
import { closeGracefully } from "./http_server.ts";
import type { Logger } from "./logger.ts";
import type { RequestProxy } from "./requests/request_proxy.ts";
import type { StopSignals } from "./signals.ts";

/**
 * Time for which an entry that reports itself as not ready still accepts
 * requests, in ms, so that the load balancer can stop routing to it first. It
 * is limited to a third of the `graceMs` setting.
 */
export const PRE_DRAIN_DELAY_MS = 2_000;
/** Timeout for callers' connections to receive the rest of their responses, in ms. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Options of `stopGracefully`. */
export interface ShutdownOptions {
  /** Undefined if the entry serves no callers. */
  readonly requestProxy:
    | Pick<RequestProxy, "drain" | "inFlight" | "load" | "server">
    | undefined;
  readonly graceMs: number;
  readonly signals: StopSignals;
  /** Marks the entry as stopping, which makes it unready, and tells its peers. */
  readonly onStopping: () => void;
  readonly log: Logger;
}

type ShutdownOutcome = "finished" | "second signal" | "grace time over";

function* drainRequests(
  requestProxy: { drain(): Promise<void>; server: Server },
  delayMs: number,
): Operation<void> {
  yield* sleep(delayMs);
  yield* until(requestProxy.drain());
  yield* closeGracefully(requestProxy.server, CLOSE_TIMEOUT_MS);
}

/** Drains the entry's requests. Returns the exit code: 0, or 1 if a second signal or the end of the grace period stopped the drain. */
export function* stopGracefully(options: ShutdownOptions): Operation<number> {
  const { requestProxy, graceMs, signals, log } = options;
  options.onStopping();
  const requestsInFlight = () => requestProxy?.inFlight() ?? 0;
  log.info("stopping", { graceMs, requestsInFlight: requestsInFlight() });

  function* drain(): Operation<ShutdownOutcome> {
    if (requestProxy !== undefined) {
      const delayMs = Math.min(PRE_DRAIN_DELAY_MS, graceMs / 3);
      yield* drainRequests(requestProxy, delayMs);
    }
    return "finished";
  }
  function* waitForSignal(): Operation<ShutdownOutcome> {
    yield* signals.next();
    return "second signal";
  }
  function* waitForGracePeriod(): Operation<ShutdownOutcome> {
    yield* sleep(graceMs);
    return "grace time over";
  }

  const outcome = yield* race([drain(), waitForSignal(), waitForGracePeriod()]);
  if (outcome === "finished") {
    log.info("stopped");
    return 0;
  }
  const abortedRequests = requestsInFlight();
  const busyServices = Object.entries(requestProxy?.load().services ?? {})
    .filter(([, load]) => load.inFlight + load.waiting > 0)
    .map(([name, { inFlight, waiting }]) => [name, { inFlight, waiting }]);
  log.error(`${outcome}: aborting ${abortedRequests} request(s)`, {
    requestsInFlight: abortedRequests,
    services: Object.fromEntries(busyServices),
  });
  return 1;
}
