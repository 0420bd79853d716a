import { connect, type Server, type Socket } from "node:net";
import type { Clock } from "../clock.ts";

/** Minimum interval between two probes, in ms; also the precision of the estimated arrival times. */
const PROBE_INTERVAL_MS = 25;
/** Delay before the kernel retransmits a dropped SYN, in ms; a probe that connects sooner was queued at once. */
const SYN_RETRY_MS = 1_000;
/** Maximum number of pending probes, a small part of Node's default backlog of 511 connections. */
const MAXIMUM_PROBES = 16;

interface Probe {
  readonly socket: Socket;
  /** Local port of the probe; undefined until the socket is bound. */
  port: number | undefined;
  /** Latest time at which the kernel can have queued the probe, in monotonic ms; undefined until it is connected. */
  queuedAtMs: number | undefined;
}

/**
 * Estimates how long new connections have waited in the kernel's accept queue.
 *
 * Node accepts one connection per event loop iteration. When hundreds of
 * callers connect at once, the last ones wait for hundreds of ms before the
 * entry sees them. The queue is FIFO, so a connection that is accepted before a
 * probe (a connection of the entry to its own port) arrived before the probe.
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

  /**
   * Returns the latest time at which an accepted connection can have arrived, in
   * monotonic ms. If the connection is a probe, closes it and returns undefined.
   */
  estimateArrivalMs(socket: Socket): number | undefined {
    const nowMs = this.#clock.monotonicMs();
    const ownProbe = this.#probes.find(({ port }) =>
      port !== undefined && port === socket.remotePort
    );
    if (ownProbe !== undefined) {
      this.#remove(ownProbe);
      // A reset avoids a connection in TIME_WAIT.
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
    // The local port is assigned when Node connects, on the next tick.
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
