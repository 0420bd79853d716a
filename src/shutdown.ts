import type { Server } from "node:http";
import { type Operation, race, sleep, until } from "effection";
import { closeGracefully } from "./http_server.ts";
import type { Logger } from "./logger.ts";
import type { RequestProxy } from "./requests/request_proxy.ts";
import type { StopSignals } from "./signals.ts";

/**
 * Time for which an entry that has reported itself as not ready still serves
 * new requests, in ms, so that the balancer notices first. It is at most a
 * third of the settings' `graceMs`.
 */
export const PRE_DRAIN_DELAY_MS = 2_000;
/** Time for callers' connections to take the last bytes of their responses, in ms. */
const CLOSE_TIMEOUT_MS = 1_000;

/** What the graceful shutdown works with. */
export interface ShutdownOptions {
  /** Undefined when the entry serves no callers. */
  readonly requestPath:
    | Pick<RequestProxy, "drain" | "inFlight" | "load" | "server">
    | undefined;
  readonly graceMs: number;
  readonly signals: StopSignals;
  /** Makes the entry not ready and reports it as stopping. */
  readonly onStopping: () => void;
  readonly log: Logger;
}

type Ending = "finished" | "second signal" | "grace time over";

function* drainCallers(
  requestPath: { drain(): Promise<void>; server: Server },
  noticeMs: number,
): Operation<void> {
  yield* sleep(noticeMs);
  yield* until(requestPath.drain());
  yield* closeGracefully(requestPath.server, CLOSE_TIMEOUT_MS);
}

/** Ends the entry's work; returns the exit code: 0, or 1 when requests were cut off or a bound was hit. */
export function* stopGracefully(options: ShutdownOptions): Operation<number> {
  const { requestPath, graceMs, signals, log } = options;
  options.onStopping();
  const requestsInFlight = () => requestPath?.inFlight() ?? 0;
  log.info("stopping", { graceMs, requestsInFlight: requestsInFlight() });

  function* drain(): Operation<Ending> {
    if (requestPath !== undefined) {
      const noticeMs = Math.min(PRE_DRAIN_DELAY_MS, graceMs / 3);
      yield* drainCallers(requestPath, noticeMs);
    }
    return "finished";
  }
  function* waitForSignal(): Operation<Ending> {
    yield* signals.next();
    return "second signal";
  }
  function* waitForBound(): Operation<Ending> {
    yield* sleep(graceMs);
    return "grace time over";
  }

  const ending = yield* race([drain(), waitForSignal(), waitForBound()]);
  if (ending === "finished") {
    log.info("stopped");
    return 0;
  }
  const cutOff = requestsInFlight();
  const busy = Object.entries(requestPath?.load().services ?? {})
    .filter(([, load]) => load.inFlight + load.waiting > 0)
    .map(([name, { inFlight, waiting }]) => [name, { inFlight, waiting }]);
  log.error(`${ending}: ${cutOff} request(s) are cut off`, {
    requestsInFlight: cutOff,
    services: Object.fromEntries(busy),
  });
  return 1;
}
