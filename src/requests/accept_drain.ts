/** State of the caller server at the end of an event loop iteration. */
export interface LoopState {
  /** Number of connections accepted in this iteration. */
  readonly accepted: number;
  /** Number of accepted connections whose requests aren't parsed yet. */
  readonly held: number;
  /** Time for which the accept queue has been drained without a release, in ms. */
  readonly drainingForMs: number;
  /** Whether this iteration parsed the requests of connections that were just released. */
  readonly released: boolean;
}

/**
 * What the caller server does next: accept the next connection only, release
 * the held connections for parsing, or serve parsed requests.
 */
export type LoopStep = "accept" | "release" | "serve";

/** Time after which a drain ends although connections still arrive, in ms. */
export const MAXIMUM_DRAIN_MS = 50;
/**
 * Number of connections below which a drain continues beyond its time. On a busy
 * machine the process is suspended for 30 to 100 ms within a drain, which then
 * accepted as few as one connection.
 */
export const MINIMUM_DRAIN_CONNECTIONS = 32;

/**
 * Decides what follows an event loop iteration.
 *
 * Node 20 accepts one connection per iteration. An iteration that also serves
 * requests takes several ms, so that the last of hundreds of connections would
 * wait for seconds. Nothing is parsed or served until the accept queue is empty.
 */
export function decideLoopStep(state: LoopState): LoopStep {
  // Under a constant rate of connections, parsed requests would otherwise wait for one drain after another.
  if (state.released) return "serve";
  const continues = state.drainingForMs < MAXIMUM_DRAIN_MS ||
    state.held < MINIMUM_DRAIN_CONNECTIONS;
  if (state.accepted > 0 && continues) return "accept";
  return state.held > 0 ? "release" : "serve";
}
