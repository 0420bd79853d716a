import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "../../clock.ts";
import type { Logger } from "../../logger.ts";
import type { OrderOutcome, WorkerAddress, WorkerControl } from "../ports.ts";
import type { ChannelOutcome, RelayChannel } from "./channel.ts";
import type { RelayedOrder } from "./messages.ts";

/** Number of workers from which an owner uses relays; it sends the orders to fewer workers itself. */
const MINIMUM_WORKERS = 100;
/** Number of workers for which a data centre uses one relay. */
const WORKERS_PER_RELAY = 100;
/** Number of relays in each data centre that are connected beyond those in use. */
const STANDBY_RELAYS = 1;
/** Time after which a failed relay is tried again, in ms. */
const RETRY_DELAY_MS = 2_000;
/** Time at the start of a tenure in which orders wait for a relay, in ms, so that a new owner doesn't connect to all workers itself. */
const START_WAIT_MS = 500;
/** Interval of the checks for a relay during that time, in ms. */
const START_CHECK_INTERVAL_MS = 20;

/** An entry that offers to send orders to the workers of its data centre. */
export interface RelayOffer {
  readonly address: string;
  readonly dataCentre: string;
}

/** Sends orders to workers, through relays when there are many workers. */
export interface RelayedControl extends WorkerControl {
  addRelay(offer: RelayOffer): void;
  /** Returns the state of each offered relay, for the `/dump` endpoint. */
  describe(): unknown;
  closeRelays(): void;
}

interface Relay {
  readonly address: string;
  channel: RelayChannel | undefined;
  retryAtMs: number;
}

/**
 * Creates the control of one tenure. A relay only saves the owner's processor
 * time: leases, fences and run numbers are checked as for a direct order, and an
 * order that got lost on the way counts as unanswered.
 */
export function createRelayedControl(options: {
  readonly direct: WorkerControl;
  readonly openChannel: (address: string) => RelayChannel;
  /** Returns the number of workers in the fleet. */
  readonly countWorkers: () => number;
  readonly clock: Clock;
  readonly log: Logger;
}): RelayedControl {
  const { direct, openChannel, countWorkers, clock, log } = options;
  const startedAtMs = clock.monotonicMs();
  const relaysByDataCentre = new Map<string, Relay[]>();
  const startWaits = new Map<string, Promise<void>>();
  /** Number of each worker, which spreads the workers over the relays in use. */
  const workerNumbers = new Map<string, number>();
  let nextWorkerNumber = 0;
  let closed = false;

  function countRelaysInUse(): number {
    const workersPerDataCentre = countWorkers() /
      Math.max(1, relaysByDataCentre.size);
    return Math.max(1, Math.ceil(workersPerDataCentre / WORKERS_PER_RELAY));
  }

  /** Connects to as many relays of a data centre as are wanted. */
  function connectRelays(relays: readonly Relay[], wanted: number): void {
    let connected = 0;
    for (const relay of relays) {
      if (connected >= wanted || closed) return;
      if (relay.channel?.state() === "failed") {
        relay.channel = undefined;
        relay.retryAtMs = clock.monotonicMs() + RETRY_DELAY_MS;
      }
      if (
        relay.channel === undefined && clock.monotonicMs() >= relay.retryAtMs
      ) relay.channel = openChannel(relay.address);
      if (relay.channel !== undefined) connected++;
    }
  }

  function findChannel(worker: WorkerAddress): RelayChannel | undefined {
    const relays = relaysByDataCentre.get(worker.dataCentre);
    if (relays === undefined || countWorkers() < MINIMUM_WORKERS) {
      return undefined;
    }
    const inUse = countRelaysInUse();
    connectRelays(relays, inUse + STANDBY_RELAYS);
    const open: RelayChannel[] = [];
    for (const { channel } of relays) {
      if (channel?.state() === "open" && open.length < inUse) {
        open.push(channel);
      }
    }
    return open[numberOf(worker) % open.length];
  }

  function numberOf({ workerId }: WorkerAddress): number {
    let number = workerNumbers.get(workerId);
    if (number === undefined) {
      number = nextWorkerNumber++;
      workerNumbers.set(workerId, number);
    }
    return number;
  }

  async function waitForRelay(worker: WorkerAddress): Promise<void> {
    const endMs = startedAtMs + START_WAIT_MS;
    while (
      clock.monotonicMs() < endMs && !closed &&
      findChannel(worker) === undefined
    ) await delay(START_CHECK_INTERVAL_MS);
  }

  /** Gives an order to a relay; returns undefined if it has to be sent directly. */
  async function sendThroughRelay(
    relayed: RelayedOrder,
  ): Promise<ChannelOutcome | undefined> {
    const { worker } = relayed;
    let channel = findChannel(worker);
    if (
      channel === undefined && countWorkers() >= MINIMUM_WORKERS &&
      clock.monotonicMs() < startedAtMs + START_WAIT_MS
    ) {
      const { dataCentre } = worker;
      let wait = startWaits.get(dataCentre);
      if (wait === undefined) {
        wait = waitForRelay(worker);
        startWaits.set(dataCentre, wait);
      }
      await wait;
      channel = findChannel(worker);
    }
    return await channel?.send(relayed);
  }

  /** Sends an order that must not be repeated without need: only one that was surely not executed is sent again. */
  async function sendOrder(
    relayed: RelayedOrder,
    sendDirectly: () => Promise<OrderOutcome>,
  ): Promise<OrderOutcome> {
    const outcome = await sendThroughRelay(relayed);
    if (outcome === undefined) return await sendDirectly();
    if (outcome.kind !== "lost") return outcome;
    return outcome.sent ? { kind: "unknown" } : await sendDirectly();
  }

  /** The fields of a registration that an order needs. */
  const toAddress = (
    { workerId, address, dataCentre }: WorkerAddress,
  ): WorkerAddress => ({ workerId, address, dataCentre });

  return {
    addRelay({ address, dataCentre }) {
      const relays = relaysByDataCentre.get(dataCentre) ?? [];
      relaysByDataCentre.set(dataCentre, relays);
      const known = relays.find((relay) => relay.address === address);
      // A repeated offer comes from a process that has restarted.
      if (known !== undefined) known.retryAtMs = 0;
      else {
        relays.push({ address, channel: undefined, retryAtMs: 0 });
        log.info("relay was offered", { relay: address, dataCentre });
      }
    },
    describe: () =>
      Object.fromEntries(
        [...relaysByDataCentre].map(([dataCentre, relays]) => [
          dataCentre,
          relays.map(({ address, channel }) => ({
            address,
            state: channel?.state() ?? "not_connected",
          })),
        ]),
      ),
    closeRelays() {
      closed = true;
      for (const relays of relaysByDataCentre.values()) {
        for (const { channel } of relays) channel?.close();
      }
    },
    start: (worker, order) =>
      sendOrder(
        { kind: "start", worker: toAddress(worker), order },
        () => direct.start(worker, order),
      ),
    stop: (worker, order) =>
      sendOrder(
        { kind: "stop", worker: toAddress(worker), order },
        () => direct.stop(worker, order),
      ),
    throttle: (worker, order) =>
      sendOrder(
        { kind: "throttle", worker: toAddress(worker), order },
        () => direct.throttle(worker, order),
      ),
    async renewAndPoll(worker, order) {
      const outcome = await sendThroughRelay({
        kind: "poll",
        worker: toAddress(worker),
        order,
      });
      if (outcome === undefined) {
        return await direct.renewAndPoll(worker, order);
      }
      if (outcome.kind === "lost") {
        // The failure of a relay says nothing about the worker, and a poll can be repeated, but the time is over until which it may extend the lease.
        return await direct.renewAndPoll(worker, {
          ...order,
          leaseEndMs: undefined,
          waitMs: 0,
        });
      }
      return outcome.kind === "done"
        ? { ...outcome, bornAtMs: outcome.bornAtMs }
        : outcome;
    },
    close(worker) {
      direct.close(worker);
      workerNumbers.delete(worker.workerId);
      for (
        const { channel } of relaysByDataCentre.get(worker.dataCentre) ?? []
      ) {
        channel?.sendClose(toAddress(worker));
      }
    },
  };
}
