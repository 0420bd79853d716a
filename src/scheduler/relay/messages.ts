import { StringDecoder } from "node:string_decoder";
import { z } from "zod";

/** Path of the HTTP upgrade that opens a relay channel. */
export const RELAY_PATH = "/relay";
/** Protocol name in the upgrade header. */
export const RELAY_PROTOCOL = "cowslipferry-relay";
/** Header with the epoch of the owner that opens the channel. */
export const EPOCH_HEADER = "cowslipferry-epoch";
/** Time for which orders are collected before they are sent, in ms. */
export const ORDER_BATCH_MS = 4;
/** Time for which outcomes are collected before they are sent, in ms; the owner handles them together. */
export const OUTCOME_BATCH_MS = 8;
/** Maximum length of a message, in characters. */
const MAXIMUM_MESSAGE_LENGTH = 8_000_000;

const workerSchema = z.object({
  workerId: z.string(),
  address: z.string(),
  dataCentre: z.string(),
});
const runSchema = z.object({
  taskId: z.string(),
  run: z.number(),
  fence: z.number(),
});

const orderSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("start"),
    worker: workerSchema,
    order: runSchema.extend({
      specification: z.string(),
      leaseEndMs: z.number(),
      checkpoint: z.string(),
      ticket: z.string().optional(),
    }),
  }),
  z.object({ kind: z.literal("stop"), worker: workerSchema, order: runSchema }),
  z.object({
    kind: z.literal("throttle"),
    worker: workerSchema,
    order: runSchema.extend({ percent: z.number() }),
  }),
  z.object({
    kind: z.literal("poll"),
    worker: workerSchema,
    order: z.object({
      fence: z.number(),
      acknowledged: z.number(),
      leaseEndMs: z.number().optional(),
      waitMs: z.number(),
      responseTimeoutMs: z.number().optional(),
    }),
  }),
  /** The worker no longer exists; its connections can be closed. Has no outcome. */
  z.object({ kind: z.literal("close"), worker: workerSchema }),
]);

/** An order that the owner sends to a worker through a relay. */
export type RelayedOrder = z.infer<typeof orderSchema>;

const outcomeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("done"),
    clockMs: z.number(),
    bornAtMs: z.number().optional(),
    running: z.array(z.object({
      taskId: z.string(),
      run: z.number(),
      checkpoint: z.string(),
      percent: z.number(),
      loadMetric: z.number(),
    })).default([]),
    ended: z.array(z.object({
      number: z.number(),
      taskId: z.string(),
      run: z.number(),
      ending: z.enum([
        "done",
        "failed",
        "stopped",
        "lapsed",
        "broken",
        "alone",
      ]),
      checkpoint: z.string(),
    })).default([]),
    hasMoreEnded: z.boolean().default(false),
  }),
  z.object({
    kind: z.literal("refused"),
    reason: z.enum([
      "fenced",
      "superseded",
      "expired",
      "no_room",
      "ticket",
      "unhealthy",
      "invalid",
    ]),
  }),
  z.object({ kind: z.literal("other_life") }),
  z.object({ kind: z.literal("not_sent") }),
  z.object({ kind: z.literal("unknown") }),
]);

/** Outcome of a relayed order, as the relay's own call to the worker returned it. */
export type RelayedOutcome = z.infer<typeof outcomeSchema>;

/** Message from the owner to a relay. */
export const ordersMessageSchema = z.object({
  orders: z.array(z.object({ id: z.number(), order: orderSchema })),
});
export type OrdersMessage = z.infer<typeof ordersMessageSchema>;

/** Message from a relay to the owner; one without outcomes shows that the relay is running. */
export const outcomesMessageSchema = z.object({
  outcomes: z.array(z.object({ id: z.number(), outcome: outcomeSchema })),
  /** The relay is stopping and takes no further orders. */
  closing: z.boolean().default(false),
});
export type OutcomesMessage = z.input<typeof outcomesMessageSchema>;

/** Encodes a message as one line. */
export function encodeMessage(
  message: OrdersMessage | OutcomesMessage,
): string {
  return `${JSON.stringify(message)}\n`;
}

/**
 * Creates a reader that splits received bytes into lines and passes each parsed
 * one on; it throws if a line is not a valid message.
 */
export function createMessageReader<T extends z.ZodType>(
  schema: T,
  onMessage: (message: z.output<T>) => void,
): (bytes: Buffer) => void {
  const decoder = new StringDecoder("utf8");
  let pending = "";
  return (bytes) => {
    const lines = (pending + decoder.write(bytes)).split("\n");
    pending = lines.pop()!;
    if (pending.length > MAXIMUM_MESSAGE_LENGTH) {
      throw new RangeError(
        `message exceeds ${MAXIMUM_MESSAGE_LENGTH} characters`,
      );
    }
    for (const line of lines) onMessage(schema.parse(JSON.parse(line)));
  };
}

/** Collects items and passes them on together after a delay. */
export interface Batcher<T> {
  add(item: T): void;
  /** Returns and removes the items that were not passed on yet. */
  take(): T[];
}

/** Creates an empty batcher; `delayMs` counts from the first item of a batch. */
export function createBatcher<T>(
  delayMs: number,
  onBatch: (items: T[]) => void,
): Batcher<T> {
  let items: T[] = [];
  let timer: NodeJS.Timeout | undefined;
  function take(): T[] {
    clearTimeout(timer);
    timer = undefined;
    const taken = items;
    items = [];
    return taken;
  }
  return {
    add(item) {
      items.push(item);
      timer ??= setTimeout(() => onBatch(take()), delayMs);
    },
    take,
  };
}
