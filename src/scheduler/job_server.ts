import { createServer, type RequestListener, type Server } from "node:http";
import type { Clock } from "../clock.ts";
import type { ConnectionBudget } from "../connections/connection_budget.ts";
import { guardConnections } from "../connections/guarded_server.ts";
import type { OperatorState } from "./operator_state.ts";

/** Dependencies of the callers' HTTP server. */
export interface JobServerOptions {
  readonly listener: RequestListener;
  readonly budget: ConnectionBudget;
  readonly operator: Pick<OperatorState, "config">;
  readonly clock: Clock;
}

/** Time in which a caller must send a request head, in ms. */
const HEAD_TIMEOUT_MS = 10_000;
/** Time in which a caller must send a whole request, in ms; the deadline of most requests is shorter. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Interval at which connections are checked for these timeouts, in ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/** Time for which an idle connection is kept open, in ms. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;
const MAXIMUM_HEAD_BYTES = 16_384;
/** Number of headers beyond which Node ignores them; only a few are used. */
const MAXIMUM_HEADERS = 200;
/** Maximum size of a body before the first configuration, in bytes. */
const DEFAULT_MAXIMUM_BODY_BYTES = 262_144;
/** Memory occupied by a byte of a body while it is received. */
const BODY_COST_FACTOR = 2;

/** Creates the callers' HTTP server without starting to listen. */
export function createJobServer(options: JobServerOptions): Server {
  const { listener, budget, operator, clock } = options;
  const server = createServer({
    maxHeaderSize: MAXIMUM_HEAD_BYTES,
    headersTimeout: HEAD_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    // Node's own refusals aren't tracked by the guarded connection.
    requireHostHeader: false,
  }, listener);
  server.maxHeadersCount = MAXIMUM_HEADERS;
  server.on("checkExpectation", listener);
  const parse = guardConnections(server, {
    budget,
    maximumAheadBytes: () =>
      MAXIMUM_HEAD_BYTES +
      (operator.config()?.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES),
    bodyCostFactor: BODY_COST_FACTOR,
    clock,
  });
  server.on("connection", (socket) => void parse(socket));
  return server;
}
