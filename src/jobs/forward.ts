import { Agent, request } from "undici";
import {
  DEADLINE_HEADER,
  FORWARDED_BY_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  OUTCOME_HEADER,
} from "../constants.ts";
import { isNotSent } from "../http_call.ts";
import { JobOutcomeUnknownError, JobRefusedError } from "./errors.ts";
import { decodeLedgerMessage, encodeLedgerMessage } from "./ledger_codec.ts";
import { type JobCall, type JobReply, JOBS_PATH } from "./job_reply.ts";
import {
  type LedgerAnswer,
  ledgerAnswerSchema,
  type LedgerCall,
} from "./ledger_client.ts";

/**
 * Timeout of a forwarded call, in ms. Longer than the owner's own deadline for
 * the store.
 */
export const FORWARD_TIMEOUT_MS = 5_000;
/**
 * Retry hint after the owner could not be reached, in ms; by then, another
 * entry may own the shard.
 */
const UNREACHABLE_RETRY_MS = 2_000;

const agent = new Agent({ connect: { timeout: 1_000 }, pipelining: 1 });

/** Options of a forwarded call. */
export interface ForwardOptions {
  /** `host:port` of the owner's port for callers. */
  readonly address: string;
  /** Id of this entry. */
  readonly entryId: string;
  /** Time until the owner's answer counts as lost, in ms. */
  readonly timeoutMs?: number;
  /** Time left until the caller's deadline, in ms; undefined if it set none. */
  readonly deadlineMs?: number | undefined;
}

/**
 * Forwards a call to the shard's owner. Rejects with a `JobRefusedError` if the
 * call is read-only or provably wasn't sent, and with a
 * `JobOutcomeUnknownError` otherwise.
 */
export async function forwardCall(
  call: JobCall,
  options: ForwardOptions,
): Promise<JobReply> {
  const { timeoutMs = FORWARD_TIMEOUT_MS, deadlineMs } = options;
  try {
    const response = await request(`http://${options.address}${call.url}`, {
      dispatcher: agent,
      method: call.method as "GET" | "POST" | "DELETE",
      signal: AbortSignal.timeout(timeoutMs),
      headers: {
        [FORWARDED_BY_HEADER]: options.entryId,
        ...(call.key === undefined ? {} : {
          [IDEMPOTENCY_KEY_HEADER]: call.key,
        }),
        ...(deadlineMs === undefined ? {} : {
          [DEADLINE_HEADER]: String(Math.max(1, Math.floor(deadlineMs))),
        }),
        ...(call.body === undefined ? {} : {
          "content-type": "application/json",
        }),
      },
      body: call.body ?? null,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    const headers = ["content-type", "retry-after"].flatMap((name) => {
      const value = response.headers[name];
      return typeof value === "string" ? [name, value] : [];
    });
    const outcome = response.headers[OUTCOME_HEADER];
    return {
      status: response.statusCode,
      outcome: outcome === "answer" || outcome === "not_run"
        ? outcome
        : "outcome_unknown",
      headers,
      body,
    };
  } catch (error) {
    if (call.method === "GET" || isNotSent(error)) {
      throw new JobRefusedError(
        "owner_unreachable",
        "The entry that owns the shard can't be reached",
        UNREACHABLE_RETRY_MS,
      );
    }
    throw new JobOutcomeUnknownError(
      "The shard's owner didn't answer; ask again with the key",
    );
  }
}

/** Path of the quota ledger below the path of the job API. */
export const LEDGER_ROUTE = "ledger";

/**
 * Calls the quota ledger on another entry. Resolves to undefined if that entry
 * doesn't run the ledger. Rejects like `forwardCall`.
 */
export async function callLedger(
  call: LedgerCall,
  options: { readonly address: string; readonly entryId: string },
): Promise<LedgerAnswer | undefined> {
  const reply = await forwardCall({
    method: "POST",
    url: `${JOBS_PATH}/${LEDGER_ROUTE}`,
    body: encodeLedgerMessage(call),
    key: undefined,
    forwardedBy: undefined,
    deadlineAtMs: undefined,
  }, options);
  if (reply.status !== 200) return undefined;
  return decodeLedgerMessage(reply.body, ledgerAnswerSchema, "ledger answer");
}
