import type { RequestListener } from "node:http";
import { initTRPC, TRPCError } from "@trpc/server";
import { z } from "zod";
import { serveTrpcCall } from "../trpc_endpoint.ts";
import { type JobSpec, jobSpecSchema, type JobStatus } from "./model.ts";
import { networkAddressSchema } from "./network_address.ts";
import type { Owner } from "./ownership.ts";
import type { StoredItem } from "./ports.ts";
import type { RelayOffer } from "./relay/control.ts";
import type { Withdrawal } from "./withdrawals.ts";
import type { AdmissionDecision } from "./workspaces/admission.ts";

/** Maximum size of a request body between entries, in bytes; a job has at most 256 KB. */
const MAXIMUM_REQUEST_BYTES = 524_288;

/** Reply to a call that only the owner can handle. */
export type OwnerReply<T> =
  | { readonly kind: "reply"; readonly value: T }
  | { readonly kind: "not_owner" };

/** Outcome of a request to the owner to store a record. */
export type StoreReply =
  | "stored"
  /** The key already exists. */
  | "existing"
  /** The key already exists, with a job of another workspace. */
  | "foreign"
  /** The job was cancelled before it was stored. */
  | "withdrawn"
  /** The write was not executed. */
  | "not_stored"
  /** The store refuses the record for good, for instance because it is too large. */
  | "rejected"
  /** The write got no response; it may have been executed or may still be executed later. */
  | "unresolved";

/** Handlers of calls from other entries. */
export interface PeerHandlers {
  /** Decides whether the calling entry may store a job; `specification` isn't needed. */
  admit(spec: JobSpec): OwnerReply<AdmissionDecision>;
  /** Returns the stored configuration if it was changed after a store revision; null if this entry knows no such change. */
  configAfter(revision: number): StoredItem | null;
  /** Adds a job that the calling entry has stored at a store revision; replies whether there is memory for more jobs. */
  accepted(spec: JobSpec, revision: number): OwnerReply<boolean>;
  /** Stores a job for an entry that can't reach the store. */
  submit(spec: JobSpec): Promise<OwnerReply<StoreReply>>;
  /** Cancels a job whose cancellation the calling entry has stored. */
  cancelled(jobId: string): OwnerReply<true>;
  /** Stores a cancellation for an entry that can't reach the store. */
  cancel(jobId: string): Promise<OwnerReply<StoreReply>>;
  /** Keeps a job from being stored, for an entry that can't reach the store; `existing` if it is stored. */
  withdraw(withdrawal: Withdrawal): Promise<OwnerReply<StoreReply>>;
  /** Returns the status of a job; null if the owner doesn't know it or it is another workspace's. */
  status(jobId: string, workspace: string): OwnerReply<JobStatus | null>;
  waitingJobs(queue: string): OwnerReply<number>;
  /** Returns the owner that this entry knows of. */
  owner(): Owner | null;
  /** Takes over from an owner that can't reach the store; returns false if this entry can't. */
  replaceOwner(epoch: number): boolean;
  /** Checks whether this entry can connect to the entry at an address. */
  reaches(address: string): Promise<boolean>;
  /** Adds an entry that offers to send orders to workers for the owner. */
  offerRelay(offer: RelayOffer): OwnerReply<true>;
  /** Records the IP address of the calling entry. */
  recordCaller(ip: string): void;
}

const trpc = initTRPC.context<{ handlers: PeerHandlers }>().create();
/** A job with the store revision of its record; an entry of an earlier version sends none, and the watch adds the job. */
const storedJobSchema = jobSpecSchema.extend({
  storedRevision: z.number().default(0),
});
const jobIdSchema = z.object({ jobId: z.string() });

const schedulerRouter = trpc.router({
  admit: trpc.procedure.input(jobSpecSchema).mutation(({ input, ctx }) =>
    ctx.handlers.admit(input)
  ),
  configAfter: trpc.procedure.input(z.object({ revision: z.number() })).query((
    { input, ctx },
  ) => ctx.handlers.configAfter(input.revision)),
  accepted: trpc.procedure.input(storedJobSchema).mutation((
    { input: { storedRevision, ...spec }, ctx },
  ) => ctx.handlers.accepted(spec, storedRevision)),
  submit: trpc.procedure.input(jobSpecSchema).mutation(({ input, ctx }) =>
    ctx.handlers.submit(input)
  ),
  cancelled: trpc.procedure.input(jobIdSchema).mutation(({ input, ctx }) =>
    ctx.handlers.cancelled(input.jobId)
  ),
  cancel: trpc.procedure.input(jobIdSchema).mutation(({ input, ctx }) =>
    ctx.handlers.cancel(input.jobId)
  ),
  withdraw: trpc.procedure.input(jobIdSchema.extend({ workspace: z.string() }))
    .mutation(({ input, ctx }) => ctx.handlers.withdraw(input)),
  status: trpc.procedure.input(
    jobIdSchema.extend({ workspace: z.string().default("") }),
  ).query(({ input, ctx }) =>
    ctx.handlers.status(input.jobId, input.workspace)
  ),
  waitingJobs: trpc.procedure.input(z.object({ queue: z.string() })).query((
    { input, ctx },
  ) => ctx.handlers.waitingJobs(input.queue)),
  owner: trpc.procedure.query(({ ctx }) => ctx.handlers.owner()),
  replaceOwner: trpc.procedure.input(z.object({ epoch: z.number() })).mutation((
    { input, ctx },
  ) => ctx.handlers.replaceOwner(input.epoch)),
  reaches: trpc.procedure.input(z.object({ address: networkAddressSchema }))
    .query((
      { input, ctx },
    ) => ctx.handlers.reaches(input.address)),
  offerRelay: trpc.procedure.input(
    z.object({ address: networkAddressSchema, dataCentre: z.string() }),
  ).mutation(({ input, ctx }) => ctx.handlers.offerRelay(input)),
});

/** Type of the tRPC router for calls between entries. */
export type SchedulerRouter = typeof schedulerRouter;

const createCaller = trpc.createCallerFactory(schedulerRouter);

/** Creates the HTTP handler for calls from other entries. */
export function createPeerHandler(handlers: PeerHandlers): RequestListener {
  const procedures: Readonly<
    Record<string, ((input: never) => Promise<unknown>) | undefined>
  > = createCaller({ handlers });
  const kinds: Readonly<
    Record<string, { _def: { type: string } } | undefined>
  > = schedulerRouter._def.procedures;

  return (request, response) => {
    handlers.recordCaller(request.socket.remoteAddress ?? "");
    const path = (request.url ?? "").split("?")[0]!.slice(1);
    const kind = Object.hasOwn(kinds, path)
      ? kinds[path]?._def.type
      : undefined;
    void serveTrpcCall(request, response, {
      path,
      maximumBytes: MAXIMUM_REQUEST_BYTES,
      call(input) {
        if (kind !== (request.method === "POST" ? "mutation" : "query")) {
          throw new TRPCError({
            code: "NOT_FOUND",
            message: `no procedure ${request.method} ${path}`,
          });
        }
        return procedures[path]!(input as never);
      },
    });
  };
}
