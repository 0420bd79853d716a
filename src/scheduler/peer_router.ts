import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { z } from "zod";
import { type JobSpec, jobSpecSchema, type JobStatus } from "./model.ts";
import type { Owner } from "./ownership.ts";

/** Largest request body between entries, in bytes; a job has at most 256 KB. */
const MAXIMUM_REQUEST_BYTES = 524_288;

/** Answer to a call that only the owner can serve. */
export type OwnerReply<T> =
  | { readonly kind: "reply"; readonly value: T }
  | { readonly kind: "not_owner" };

/** What became of a record that the owner was asked to store. */
export type StoreReply =
  | "stored"
  /** The key existed already. */
  | "existing"
  /** The store refused the write, so that nothing was done. */
  | "not_stored"
  /** The write had no answer; it may be carried out, now or later. */
  | "unresolved";

/** What an entry does with calls of other entries. */
export interface PeerHandlers {
  /** Takes note of a stored job. */
  accepted(spec: JobSpec): OwnerReply<true>;
  /** Stores a job for an entry that can't reach the store. */
  submit(spec: JobSpec): Promise<OwnerReply<StoreReply>>;
  cancelled(jobId: string): OwnerReply<true>;
  /** Stores a cancellation for an entry that can't reach the store. */
  cancel(jobId: string): Promise<OwnerReply<StoreReply>>;
  /** Status of a job; null for one that the owner doesn't know. */
  status(jobId: string): OwnerReply<JobStatus | null>;
  waitingJobs(queue: string): OwnerReply<number>;
  /** Who this entry takes for the owner. */
  owner(): Owner | null;
  /** Takes over from an owner that the store refuses; false when this entry can't. */
  replaceOwner(epoch: number): boolean;
  /** Whether this entry reaches the entry at an address. */
  reaches(address: string): Promise<boolean>;
  /** Notes that the entry on a VM has called. */
  recordCaller(ip: string): void;
}

const trpc = initTRPC.context<{ handlers: PeerHandlers }>().create();
const jobId = z.object({ jobId: z.string() });

const schedulerRouter = trpc.router({
  accepted: trpc.procedure.input(jobSpecSchema).mutation(({ input, ctx }) =>
    ctx.handlers.accepted(input)
  ),
  submit: trpc.procedure.input(jobSpecSchema).mutation(({ input, ctx }) =>
    ctx.handlers.submit(input)
  ),
  cancelled: trpc.procedure.input(jobId).mutation(({ input, ctx }) =>
    ctx.handlers.cancelled(input.jobId)
  ),
  cancel: trpc.procedure.input(jobId).mutation(({ input, ctx }) =>
    ctx.handlers.cancel(input.jobId)
  ),
  status: trpc.procedure.input(jobId).query(({ input, ctx }) =>
    ctx.handlers.status(input.jobId)
  ),
  waitingJobs: trpc.procedure.input(z.object({ queue: z.string() })).query((
    { input, ctx },
  ) => ctx.handlers.waitingJobs(input.queue)),
  owner: trpc.procedure.query(({ ctx }) => ctx.handlers.owner()),
  replaceOwner: trpc.procedure.input(z.object({ epoch: z.number() })).mutation((
    { input, ctx },
  ) => ctx.handlers.replaceOwner(input.epoch)),
  reaches: trpc.procedure.input(z.object({ address: z.string() })).query((
    { input, ctx },
  ) => ctx.handlers.reaches(input.address)),
});

/** Calls that entries make to each other. */
export type SchedulerRouter = typeof schedulerRouter;

/** Creates the HTTP handler of calls between entries. */
export function createPeerHandler(handlers: PeerHandlers) {
  return createHTTPHandler({
    router: schedulerRouter,
    createContext({ req }) {
      handlers.recordCaller(req.socket.remoteAddress ?? "");
      return { handlers };
    },
    maxBodySize: MAXIMUM_REQUEST_BYTES,
    allowBatching: false,
  });
}
