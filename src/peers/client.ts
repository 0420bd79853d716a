import type { Socket } from "node:net";
import { createTRPCClient, httpLink } from "@trpc/client";
import { buildConnector, Pool } from "undici";
import { callWithTimeout } from "../call_timeout.ts";
import { messageOf, TaggedError } from "../errors.ts";
import { sendHttpCall } from "../http_call.ts";
import { createPoolFetch } from "../trpc_fetch.ts";
import type { ByteMeter } from "./byte_meter.ts";
import { EXCHANGE_PATH, type PeerRouter } from "./router.ts";
import {
  type ConfigRevisionReport,
  type ExchangeReply,
  exchangeReplySchema,
  type ExchangeRequest,
} from "./wire.ts";

/** Timeout of a gossip call and of connecting to a peer, in ms. */
const EXCHANGE_TIMEOUT_MS = 1_000;
/** Timeout of fetching a configuration or fleet record of up to 1 MB, in ms. */
const BODY_TIMEOUT_MS = 3_000;
/**
 * Time after which an idle connection is closed, in ms. Shorter than the peer
 * server's timeout, so that the server never closes a connection that is about
 * to be used.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 50_000;

/** Why a call to a peer failed. */
export type PeerFailure =
  | "refused" // No process listens at the address.
  | "unreachable"; // No valid response before the timeout.

/** A failed call to a peer. */
export class PeerError extends TaggedError<"peer"> {
  readonly kind = "peer";

  constructor(readonly failure: PeerFailure, message: string) {
    super(message);
  }
}

/** Client of one peer; each method rejects with a `PeerError`. */
export interface PeerClient {
  /** Makes one gossip call; resolves with the records that this entry lacks. */
  exchange(request: ExchangeRequest): Promise<ExchangeReply>;
  /** Reports this entry's configuration revision; resolves with the peer's. */
  exchangeConfigRevision(report: ConfigRevisionReport): Promise<number>;
  /** Resolves with the peer's configuration as JSON, or undefined if it isn't newer than the revision. */
  configBody(aboveRevision: number): Promise<string | undefined>;
  /** Resolves with the peer's fleet record as JSON, or undefined if it isn't newer than the revision. */
  fleetBody(aboveRevision: number): Promise<string | undefined>;
  close(): void;
}

function createPool(address: string, meter: ByteMeter): Pool {
  const connect = buildConnector({ timeout: EXCHANGE_TIMEOUT_MS });
  return new Pool(`http://${address}`, {
    connections: 1,
    pipelining: 1,
    keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
    connect: (options, callback) =>
      connect(options, (...result) => {
        if (result[0] === null) meter.track(result[1] as Socket);
        callback(...result);
      }),
  });
}

function isConnectionRefused(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if ((cause as { code?: unknown }).code === "ECONNREFUSED") return true;
  }
  return false;
}

/**
 * Makes one gossip call in tRPC's HTTP format. It bypasses the tRPC client,
 * whose links, observables and abort signals cost CPU time in each call, because
 * gossip runs all the time.
 */
async function sendExchange(
  pool: Pool,
  request: ExchangeRequest,
): Promise<ExchangeReply> {
  const { status, text } = await sendHttpCall(pool, {
    path: `/${EXCHANGE_PATH}`,
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(request),
    timeoutMs: EXCHANGE_TIMEOUT_MS,
  });
  if (status !== 200) throw new Error(`unexpected status ${status}`);
  return exchangeReplySchema.parse(JSON.parse(text)?.result?.data);
}

/** Creates a client of the peer at `host:port`. */
export function createPeerClient(
  address: string,
  meter: ByteMeter,
): PeerClient {
  const pool = createPool(address, meter);
  const client = createTRPCClient<PeerRouter>({
    links: [
      httpLink({
        url: `http://${address}`,
        fetch: createPoolFetch(pool) as never,
      }),
    ],
  });

  async function rejectWithPeerError<T>(response: Promise<T>): Promise<T> {
    try {
      return await response;
    } catch (error) {
      throw new PeerError(
        isConnectionRefused(error) ? "refused" : "unreachable",
        `Call to the peer at ${address} failed: ${messageOf(error)}`,
      );
    }
  }

  const call = <T>(
    timeoutMs: number,
    send: (signal: AbortSignal) => Promise<T>,
  ) => rejectWithPeerError(callWithTimeout(send, { timeoutMs }));

  return {
    exchange: (request) => rejectWithPeerError(sendExchange(pool, request)),
    exchangeConfigRevision: (report) =>
      call(
        EXCHANGE_TIMEOUT_MS,
        async (signal) =>
          (await client.configRevision.mutate(report, { signal }))
            .configRevision,
      ),
    configBody: (aboveRevision) =>
      call(
        BODY_TIMEOUT_MS,
        async (signal) =>
          (await client.configBody.query({ aboveRevision }, { signal })).body,
      ),
    fleetBody: (aboveRevision) =>
      call(
        BODY_TIMEOUT_MS,
        async (signal) =>
          (await client.fleetBody.query({ aboveRevision }, { signal })).body,
      ),
    close: () => void pool.destroy(),
  };
}
