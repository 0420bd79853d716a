import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import type { Clock } from "../../clock.ts";
import { assertNever, messageOf } from "../../errors.ts";
import type { Logger } from "../../logger.ts";
import type { WorkerControl } from "../ports.ts";
import { createStopwatch } from "../stopwatch.ts";
import {
  createBatcher,
  createMessageReader,
  encodeMessage,
  EPOCH_HEADER,
  ordersMessageSchema,
  OUTCOME_BATCH_MS,
  RELAY_PATH,
  RELAY_PROTOCOL,
  type RelayedOrder,
  type RelayedOutcome,
} from "./messages.ts";

/** Interval of messages that show that this relay is running, in ms. */
const HEARTBEAT_INTERVAL_MS = 200;
/** Time without activity of this process after which it must have been paused, in ms; received orders may be as old. */
const PAUSE_LIMIT_MS = 600;

/** Sends orders to workers for the owner. */
export interface RelayServer {
  /** Handles an HTTP upgrade on the port for other entries. */
  onUpgrade(request: IncomingMessage, socket: Duplex): void;
  /** Takes no further orders; those in progress are completed. */
  stop(): void;
  /** Closes all channels. */
  close(): void;
}

interface ServedChannel {
  readonly epoch: number;
  readonly socket: Duplex;
  sendClosing(): void;
  close(reason: string): void;
}

/** Sends one order to its worker; a `close` order has no outcome. */
async function executeOrder(
  control: WorkerControl,
  relayed: RelayedOrder,
): Promise<RelayedOutcome | undefined> {
  const { worker } = relayed;
  switch (relayed.kind) {
    case "start":
      return toOutcome(
        await control.start(worker, {
          ...relayed.order,
          ticket: relayed.order.ticket,
        }),
      );
    case "stop":
      return toOutcome(await control.stop(worker, relayed.order));
    case "throttle":
      return toOutcome(await control.throttle(worker, relayed.order));
    case "poll": {
      const outcome = await control.renewAndPoll(worker, {
        ...relayed.order,
        leaseEndMs: relayed.order.leaseEndMs,
      });
      return outcome.kind === "done"
        ? {
          ...outcome,
          running: [...outcome.running],
          ended: [...outcome.ended],
        }
        : outcome;
    }
    case "close":
      control.close(worker);
      return undefined;
    default:
      return assertNever(relayed);
  }
}

function toOutcome(
  outcome: Awaited<ReturnType<WorkerControl["start"]>>,
): RelayedOutcome {
  return outcome.kind === "done"
    ? { ...outcome, running: [], ended: [], hasMoreEnded: false }
    : outcome;
}

/** Creates the relay of an entry. */
export function createRelayServer(options: {
  readonly control: WorkerControl;
  readonly clock: Clock;
  readonly log: Logger;
}): RelayServer {
  const { control, clock, log } = options;
  const channels = new Set<ServedChannel>();
  let highestEpoch = 0;
  let stopping = false;

  function serve(socket: Duplex, epoch: number): void {
    /** Measures whether this process was paused; the steady clock doesn't show every pause. */
    const activity = createStopwatch(clock);
    let active = 0;
    let closed = false;

    function write(
      outcomes: { id: number; outcome: RelayedOutcome }[],
      closing = false,
    ): void {
      if (!closed) socket.write(encodeMessage({ outcomes, closing }));
    }
    const batcher = createBatcher<{ id: number; outcome: RelayedOutcome }>(
      OUTCOME_BATCH_MS,
      (outcomes) => write(outcomes),
    );
    /** Closes the channel after a pause: the owner has given up the orders that it still holds. */
    function checkPause(): boolean {
      const paused = activity.elapsedMs() > PAUSE_LIMIT_MS;
      activity.restart();
      if (paused) channel.close("this process was paused");
      return paused;
    }
    const heartbeat = setInterval(() => {
      if (!checkPause()) write([]);
    }, HEARTBEAT_INTERVAL_MS);

    const channel: ServedChannel = {
      epoch,
      socket,
      sendClosing: () => write([], true),
      close(reason) {
        if (closed) return;
        closed = true;
        clearInterval(heartbeat);
        batcher.take();
        channels.delete(channel);
        socket.destroy();
        log.info("relay channel of an owner closed", {
          epoch,
          reason,
          active,
        });
      },
    };
    channels.add(channel);

    async function relay(id: number, order: RelayedOrder): Promise<void> {
      active++;
      try {
        const outcome = await executeOrder(control, order);
        if (outcome !== undefined && !closed) batcher.add({ id, outcome });
      } finally {
        active--;
      }
    }
    const readMessage = createMessageReader(
      ordersMessageSchema,
      ({ orders }) => {
        for (const { id, order } of orders) {
          if (!closed) {
            relay(id, order).catch((error) =>
              channel.close(`an order failed: ${messageOf(error)}`)
            );
          }
        }
      },
    );
    socket.on("data", (bytes: Buffer) => {
      if (checkPause()) return;
      try {
        readMessage(bytes);
      } catch (error) {
        channel.close(`invalid message: ${messageOf(error)}`);
      }
    });
    socket.on("error", (error) => channel.close(messageOf(error)));
    socket.on("close", () => channel.close("the owner closed it"));
  }

  return {
    onUpgrade(request, socket) {
      const epoch = Number(request.headers[EPOCH_HEADER]);
      if (
        request.url !== RELAY_PATH || stopping ||
        request.headers.upgrade !== RELAY_PROTOCOL ||
        !Number.isInteger(epoch) || epoch < highestEpoch
      ) {
        socket.end("HTTP/1.1 409 Conflict\r\nconnection: close\r\n\r\n");
        return;
      }
      highestEpoch = epoch;
      // An owner that has been replaced may still be running.
      for (const channel of [...channels]) {
        if (channel.epoch < epoch) channel.close("a newer owner has come");
      }
      socket.write(
        "HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\n" +
          `upgrade: ${RELAY_PROTOCOL}\r\n\r\n`,
      );
      serve(socket, epoch);
      log.info("relay channel of an owner opened", { epoch });
    },
    stop() {
      stopping = true;
      for (const channel of channels) channel.sendClosing();
    },
    close() {
      stopping = true;
      for (const channel of [...channels]) {
        channel.close("this entry has stopped");
      }
    },
  };
}
