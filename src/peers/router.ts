import { createServer, type IncomingMessage, type Server } from "node:http";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { z } from "zod";
import { serveTrpcCall } from "../trpc_endpoint.ts";
import type { ByteMeter } from "./byte_meter.ts";
import {
  type ConfigRevisionReport,
  configRevisionReportSchema,
  type ExchangeReply,
  type ExchangeRequest,
  exchangeRequestSchema,
} from "./wire.ts";

/** Maximum size of a peer's request body, in bytes. */
const MAXIMUM_REQUEST_BYTES = 262_144;
/** Time after which an idle connection is closed, in ms; longer than a gossip cycle through 27 peers. */
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

/** Path of the gossip call. */
export const EXCHANGE_PATH = "exchange";

const bodyRequestSchema = z.object({ aboveRevision: z.number().int() });

/** Handlers of the calls that peers make to this entry. */
export interface PeerHandlers {
  /** Merges a gossip request; returns the records that the sender lacks. */
  exchange(request: ExchangeRequest): ExchangeReply;
  /** Receives the configuration revision of another region's entry; returns this entry's. */
  exchangeConfigRevision(report: ConfigRevisionReport): number;
  /** Returns the configuration as JSON if it is newer than the revision. */
  configBody(aboveRevision: number): string | undefined;
  /** Returns the fleet record as JSON if it is newer than the revision. */
  fleetBody(aboveRevision: number): string | undefined;
}

const trpc = initTRPC.context<{ handlers: PeerHandlers }>().create();

const peerRouter = trpc.router({
  exchange: trpc.procedure.input(exchangeRequestSchema).mutation(
    ({ input, ctx }) => ctx.handlers.exchange(input),
  ),
  configRevision: trpc.procedure.input(configRevisionReportSchema).mutation(
    ({ input, ctx }) => ({
      configRevision: ctx.handlers.exchangeConfigRevision(input),
    }),
  ),
  configBody: trpc.procedure.input(bodyRequestSchema).query(
    ({ input, ctx }) => ({
      body: ctx.handlers.configBody(input.aboveRevision),
    }),
  ),
  fleetBody: trpc.procedure.input(bodyRequestSchema).query(
    ({ input, ctx }) => ({ body: ctx.handlers.fleetBody(input.aboveRevision) }),
  ),
});

const createCaller = trpc.createCallerFactory(peerRouter);

/** Type of the tRPC router for the calls between entries. */
export type PeerRouter = typeof peerRouter;

/** Whether the request is a gossip call; all others go to tRPC's adapter. */
function isExchange(request: IncomingMessage): boolean {
  return request.method === "POST" && request.url === `/${EXCHANGE_PATH}` &&
    request.headers["content-type"] === "application/json";
}

/** Creates the HTTP server for peers' calls; it isn't listening yet. */
export function createPeerServer(
  handlers: PeerHandlers,
  meter: ByteMeter,
): Server {
  const trpcHandler = createHTTPHandler({
    router: peerRouter,
    createContext: () => ({ handlers }),
    maxBodySize: MAXIMUM_REQUEST_BYTES,
    allowBatching: false,
  });
  const caller = createCaller({ handlers });
  const options = {
    path: EXCHANGE_PATH,
    maximumBytes: MAXIMUM_REQUEST_BYTES,
    call: (input: unknown) => caller.exchange(input as ExchangeRequest),
  };
  const server = createServer((request, response) => {
    response.sendDate = false;
    if (isExchange(request)) void serveTrpcCall(request, response, options);
    else trpcHandler(request, response);
  });
  server.keepAliveTimeout = IDLE_CONNECTION_TIMEOUT_MS;
  server.on("connection", (socket) => meter.track(socket));
  return server;
}
