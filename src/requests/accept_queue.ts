import { connect, type Server, type Socket } from "node:net";
import type { Clock } from "../clock.ts";

/** Shortest time between two probes, in ms; arrival times are known this precisely. */
const PROBE_INTERVAL_MS = 25;
/** Time before which the kernel doesn't repeat a dropped SYN; a probe that is connected earlier was queued at once, in ms. */
const SYN_RETRY_MS = 1_000;
/** Most probes that wait at the same time, a small part of the default queue of 511 connections. */
const MAXIMUM_PROBES = 16;

interface Probe {
  readonly socket: Socket;
  /** Port from which the probe was sent; undefined until it is bound. */
  port: number | undefined;
  /** Time at which the kernel had it in the queue at the latest, in ms; undefined until it is connected. */
  queuedAtMs: number | undefined;
}

/**
 * Finds out since when new connections have waited in the kernel's accept queue.
 *
 * Node accepts one connection per loop iteration. When hundreds of callers
 * connect at once, the last ones wait for hundreds of ms without the entry
 * seeing them. The queue is first in, first out, so that a connection accepted
 * before an own connection to the same port, a probe, arrived before the probe.
 */
export class AcceptQueueMonitor {
  #server: Server;
  #clock: Clock;
  #probes: Probe[] = [];
  #lastProbeAtMs = -Infinity;

  constructor(server: Server, clock: Clock) {
    this.#server = server;
    this.#clock = clock;
  }

  /** Returns the latest time, in monotonic ms, at which an accepted connection can have arrived; undefined for a probe, which is closed. */
  estimateArrivalMs(socket: Socket): number | undefined {
    const nowMs = this.#clock.monotonicMs();
    const ownProbe = this.#probes.find(({ port }) =>
      port !== undefined && port === socket.remotePort
    );
    if (ownProbe !== undefined) {
      this.#remove(ownProbe);
      // A reset leaves no connection in TIME_WAIT.
      socket.resetAndDestroy();
      return undefined;
    }
    this.#sendProbe(nowMs);
    return Math.min(nowMs, this.#probes[0]?.queuedAtMs ?? nowMs);
  }

  #sendProbe(nowMs: number): void {
    if (
      nowMs - this.#lastProbeAtMs < PROBE_INTERVAL_MS ||
      this.#probes.length >= MAXIMUM_PROBES
    ) return;
    const address = this.#server.address();
    if (address === null || typeof address === "string") return;
    this.#lastProbeAtMs = nowMs;
    const socket = connect({
      host: reachableHost(address.address),
      port: address.port,
    });
    const probe: Probe = { socket, port: undefined, queuedAtMs: undefined };
    this.#probes.push(probe);
    // The kernel chooses the port when Node connects, on the tick after this one.
    process.nextTick(() => probe.port = socket.localPort);
    socket.unref();
    socket.on("connect", () => {
      const connectedAtMs = this.#clock.monotonicMs();
      const dropped = connectedAtMs - nowMs >= SYN_RETRY_MS;
      probe.queuedAtMs = dropped ? connectedAtMs : nowMs;
    });
    socket.on("error", () => {});
    socket.on("close", () => this.#remove(probe));
  }

  #remove(probe: Probe): void {
    this.#probes = this.#probes.filter((other) => other !== probe);
    probe.socket.destroy();
  }
}

function reachableHost(address: string): string {
  if (address === "0.0.0.0") return "127.0.0.1";
  return address === "::" ? "::1" : address;
}
