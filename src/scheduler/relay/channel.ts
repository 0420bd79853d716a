import { request } from "node:http";
import type { Socket } from "node:net";
import type { Logger } from "../../logger.ts";
import { messageOf } from "../../errors.ts";
import { type ResponseTimeout, startResponseTimeout } from "../../timeout.ts";
import {
  createBatcher,
  createMessageReader,
  encodeMessage,
  EPOCH_HEADER,
  ORDER_BATCH_MS,
  outcomesMessageSchema,
  RELAY_PATH,
  RELAY_PROTOCOL,
  type RelayedOrder,
  type RelayedOutcome,
} from "./messages.ts";

/** Timeout of opening a channel, in ms. */
const CONNECT_TIMEOUT_MS = 500;
/** Time without a message after which a relay counts as failed, in ms; it sends one at least every 200 ms. */
const SILENCE_LIMIT_MS = 800;
/** Timeout of an order beyond the time that a worker may take for it, in ms; the relay's own timeout is 0.5 s. */
const ORDER_TIMEOUT_MS = 900;

/** Outcome of an order that was given to a channel. */
export type ChannelOutcome =
  | RelayedOutcome
  /** The channel failed; unless `sent`, the relay can't have executed the order. */
  | { readonly kind: "lost"; readonly sent: boolean };

/** The owner's connection to a relay, an entry that sends orders to workers for it. */
export interface RelayChannel {
  readonly address: string;
  readonly state: () => "connecting" | "open" | "closing" | "failed";
  send(order: RelayedOrder): Promise<ChannelOutcome>;
  /** Tells the relay that a worker no longer exists. */
  sendClose(worker: RelayedOrder["worker"]): void;
  close(): void;
}

interface PendingOrder {
  resolve(outcome: ChannelOutcome): void;
  sent: boolean;
  timeout: ResponseTimeout;
}

/** Opens a channel to the relay at `host:port`; it is used only while its state is `open`. */
export function openRelayChannel(
  address: string,
  options: { readonly epoch: number; readonly log: Logger },
): RelayChannel {
  const { log } = options;
  const [host, port] = address.split(":");
  let state: "connecting" | "open" | "closing" | "failed" = "connecting";
  let socket: Socket | undefined;
  let nextId = 1;
  const pending = new Map<number, PendingOrder>();
  let silence: ResponseTimeout | undefined;
  const connectTimeout = startResponseTimeout(
    CONNECT_TIMEOUT_MS,
    () => fail("it doesn't accept the channel"),
  );

  const batcher = createBatcher<{ id: number; order: RelayedOrder }>(
    ORDER_BATCH_MS,
    (orders) => {
      if (socket === undefined || state === "failed") return;
      for (const { id } of orders) {
        const order = pending.get(id);
        if (order !== undefined) order.sent = true;
      }
      socket.write(encodeMessage({ orders }));
    },
  );

  function settle(id: number, outcome: ChannelOutcome): void {
    const order = pending.get(id);
    if (order === undefined) return;
    pending.delete(id);
    order.timeout.clear();
    order.resolve(outcome);
  }

  function fail(reason: string): void {
    if (state === "failed") return;
    const expected = state === "closing";
    state = "failed";
    connectTimeout.clear();
    silence?.clear();
    upgrade.destroy();
    // A reset discards orders that a broken link has held up.
    socket?.resetAndDestroy();
    batcher.take();
    log[expected ? "info" : "warn"]("relay channel closed", {
      relay: address,
      reason,
      pending: pending.size,
    });
    for (const [id, { sent }] of [...pending]) {
      settle(id, { kind: "lost", sent });
    }
  }

  const readMessage = createMessageReader(
    outcomesMessageSchema,
    ({ outcomes, closing }) => {
      if (closing && state === "open") state = "closing";
      for (const { id, outcome } of outcomes) settle(id, outcome);
      if (state === "closing" && pending.size === 0) fail("it is stopping");
    },
  );

  const upgrade = request({
    host,
    port: Number(port),
    path: RELAY_PATH,
    agent: false,
    headers: {
      connection: "Upgrade",
      upgrade: RELAY_PROTOCOL,
      [EPOCH_HEADER]: String(options.epoch),
    },
  });
  upgrade.on("error", (error) => fail(messageOf(error)));
  upgrade.on("response", (response) => {
    response.resume();
    fail(`it responded with status ${response.statusCode}`);
  });
  upgrade.on("upgrade", (_, upgraded: Socket, head: Buffer) => {
    if (state === "failed") return void upgraded.destroy();
    connectTimeout.clear();
    socket = upgraded;
    state = "open";
    log.info("relay channel opened", { relay: address });
    silence = startResponseTimeout(
      SILENCE_LIMIT_MS,
      () => fail("it is silent"),
    );
    if (head.length > 0) upgraded.unshift(head);
    upgraded.setNoDelay(true);
    upgraded.on("error", (error) => fail(messageOf(error)));
    upgraded.on("close", () => fail("the connection was closed"));
    upgraded.on("data", (bytes: Buffer) => {
      silence?.refresh();
      try {
        readMessage(bytes);
      } catch (error) {
        fail(`invalid message: ${messageOf(error)}`);
      }
    });
  });
  upgrade.end();

  return {
    address,
    state: () => state,
    send: (order) =>
      new Promise((resolve) => {
        if (state !== "open") return resolve({ kind: "lost", sent: false });
        const id = nextId++;
        const waitMs = order.kind === "poll" ? order.order.waitMs : 0;
        pending.set(id, {
          resolve,
          sent: false,
          timeout: startResponseTimeout(
            ORDER_TIMEOUT_MS + waitMs,
            () => fail("it didn't answer an order"),
          ),
        });
        batcher.add({ id, order });
      }),
    sendClose(worker) {
      if (state === "open") {
        batcher.add({ id: 0, order: { kind: "close", worker } });
      }
    },
    close: () => fail("it is no longer used"),
  };
}
