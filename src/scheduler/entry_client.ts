import { createTRPCClient, httpLink } from "@trpc/client";
import { Pool } from "undici";
import { callWithTimeout } from "../call_timeout.ts";
import { TaggedError } from "../errors.ts";
import { isNotSent } from "../http_call.ts";
import { createPoolFetch } from "../trpc_fetch.ts";
import type { JobSpec, JobStatus } from "./model.ts";
import type { Owner } from "./ownership.ts";
import type { StoredItem } from "./ports.ts";
import type { RelayOffer } from "./relay/control.ts";
import type { Withdrawal } from "./withdrawals.ts";
import type { AdmissionDecision } from "./workspaces/admission.ts";
import type { OwnerReply, SchedulerRouter, StoreReply } from "./peer_router.ts";

/** Timeout of a call between entries, in ms; a response normally takes a few ms, and a caller waits about 3 s. */
const CALL_TIMEOUT_MS = 450;
/** Timeout of a call for which the other entry opens a connection, in ms. */
const PROBE_CALL_TIMEOUT_MS = 900;
/** Timeout of an admission decision, in ms; the job is admitted without one. */
const ADMISSION_TIMEOUT_MS = 150;
/** Timeout of a call for which the owner writes to the store, in ms. */
const STORE_CALL_TIMEOUT_MS = 900;

/** Error of a call to another entry: it didn't respond or isn't the owner. */
export class EntryCallError extends TaggedError<"owner"> {
  readonly kind = "owner";

  constructor(
    message: string,
    readonly reason:
      | "no_answer"
      /** No connection could be opened, so the call can't have been executed. */
      | "not_sent"
      | "not_owner",
  ) {
    super(message);
  }
}

/** Whether an error or one of its causes proves that a call was not sent. */
function hasNotSentCause(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if (isNotSent(cause)) return true;
  }
  return false;
}

/** Client of one entry, which handles the calls with its `PeerHandlers`; each method rejects with an `EntryCallError`. */
export interface EntryClient {
  /** Whether this is the client of the local entry, which uses the same connections to the store. */
  readonly isLocal: boolean;
  /** Asks the owner whether a job may be stored. */
  admit(spec: JobSpec): Promise<AdmissionDecision>;
  /** Asks for the stored configuration if it was changed after a store revision. */
  configAfter(revision: number): Promise<StoredItem | undefined>;
  /** Reports a job that the calling entry has stored at a store revision; resolves with whether the owner has memory for more jobs. */
  accepted(spec: JobSpec, revision: number): Promise<boolean>;
  /** Asks the owner to store a job; `not_owner` means that nothing was stored. */
  submit(spec: JobSpec): Promise<StoreReply | "not_owner">;
  cancelled(jobId: string): Promise<void>;
  /** Asks the owner to store a cancellation; `not_owner` means that nothing was stored. */
  cancel(jobId: string): Promise<StoreReply | "not_owner">;
  /** Asks the owner to keep a job from being stored; `not_owner` means that nothing was stored. */
  withdraw(withdrawal: Withdrawal): Promise<StoreReply | "not_owner">;
  status(jobId: string, workspace: string): Promise<JobStatus | undefined>;
  waitingJobs(queue: string): Promise<number>;
  owner(): Promise<Owner | undefined>;
  replaceOwner(epoch: number): Promise<boolean>;
  reaches(address: string): Promise<boolean>;
  /** Offers the calling entry as a relay to the owner. */
  offerRelay(offer: RelayOffer): Promise<void>;
  close(): void;
}

/** Creates a client of the entry at `host:port`. */
export function createEntryClient(address: string): EntryClient {
  const pool = new Pool(`http://${address}`, {
    connections: 4,
    pipelining: 1,
    connect: { timeout: CALL_TIMEOUT_MS },
  });
  const client = createTRPCClient<SchedulerRouter>({
    links: [
      httpLink({
        url: `http://${address}`,
        fetch: createPoolFetch(pool) as never,
      }),
    ],
  });

  async function call<T>(
    send: (signal: AbortSignal) => Promise<T>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<T> {
    try {
      return await callWithTimeout(send, { timeoutMs });
    } catch (error) {
      throw new EntryCallError(
        `Call to the entry at ${address} failed: ${(error as Error).message}`,
        hasNotSentCause(error) ? "not_sent" : "no_answer",
      );
    }
  }

  /** Asks the owner to store a record; an entry that isn't the owner doesn't store it. */
  async function store(
    send: (signal: AbortSignal) => Promise<OwnerReply<StoreReply>>,
  ): Promise<StoreReply | "not_owner"> {
    const reply = await call(send, STORE_CALL_TIMEOUT_MS);
    return reply.kind === "not_owner" ? reply.kind : reply.value;
  }

  async function callOwner<T>(
    send: (signal: AbortSignal) => Promise<OwnerReply<T>>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<T> {
    const reply = await call(send, timeoutMs);
    if (reply.kind === "not_owner") {
      throw new EntryCallError(
        `The entry at ${address} is not the owner`,
        "not_owner",
      );
    }
    return reply.value;
  }

  return {
    isLocal: false,
    admit: (spec) =>
      callOwner(
        // The specification plays no part in the decision.
        (signal) =>
          client.admit.mutate({ ...spec, specification: "" }, { signal }),
        ADMISSION_TIMEOUT_MS,
      ),
    configAfter: async (revision) =>
      await call((signal) =>
        client.configAfter.query({ revision }, { signal })
      ) ?? undefined,
    accepted: (spec, revision) =>
      callOwner((signal) =>
        client.accepted.mutate({ ...spec, storedRevision: revision }, {
          signal,
        })
      ),
    submit: (spec) => store((signal) => client.submit.mutate(spec, { signal })),
    cancelled: async (jobId) =>
      void await callOwner((signal) =>
        client.cancelled.mutate({ jobId }, { signal })
      ),
    cancel: (jobId) =>
      store((signal) => client.cancel.mutate({ jobId }, { signal })),
    withdraw: (withdrawal) =>
      store((signal) => client.withdraw.mutate(withdrawal, { signal })),
    status: async (jobId, workspace) =>
      await callOwner((signal) =>
        client.status.query({ jobId, workspace }, { signal })
      ) ?? undefined,
    waitingJobs: (queue) =>
      callOwner((signal) => client.waitingJobs.query({ queue }, { signal })),
    owner: async () =>
      await call((signal) => client.owner.query(undefined, { signal })) ??
        undefined,
    replaceOwner: (epoch) =>
      call((signal) => client.replaceOwner.mutate({ epoch }, { signal })),
    reaches: (target) =>
      call(
        (signal) => client.reaches.query({ address: target }, { signal }),
        PROBE_CALL_TIMEOUT_MS,
      ),
    offerRelay: async (offer) =>
      void await callOwner((signal) =>
        client.offerRelay.mutate(offer, { signal })
      ),
    close: () => void pool.destroy(),
  };
}
