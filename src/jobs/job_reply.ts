import { assertNever } from "../errors.ts";
import {
  JobOutcomeUnknownError,
  type JobRefusalReason,
  JobRefusedError,
} from "./errors.ts";

/** Path prefix of the job API on the callers' port. */
export const JOBS_PATH = "/.cowslipferry/jobs";

/** Request to the job API. */
export interface JobCall {
  readonly method: string;
  /** Path and query as sent by the caller. */
  readonly url: string;
  readonly body: Buffer | undefined;
  readonly key: string | undefined;
  /**
   * Id of the entry that forwarded the request; a forwarded request is never
   * forwarded again.
   */
  readonly forwardedBy: string | undefined;
  /** The caller's deadline, in monotonic ms; undefined if it set none. */
  readonly deadlineAtMs: number | undefined;
}

/** Response of the job API. */
export interface JobReply {
  readonly status: number;
  readonly outcome: "answer" | "not_run" | "outcome_unknown";
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

const JSON_HEADERS = ["content-type", "application/json"];

/** Creates a reply with a JSON body. */
export function createJsonReply(status: number, data: unknown): JobReply {
  const body = Buffer.from(JSON.stringify(data));
  return { status, outcome: "answer", headers: JSON_HEADERS, body };
}

function statusOf(reason: JobRefusalReason): number {
  switch (reason) {
    case "malformed_key":
    case "invalid_job":
      return 400;
    case "unknown_job":
      return 404;
    case "expired_key":
      return 410;
    case "unknown_pool":
    case "unknown_team":
    case "key_reused":
      return 422;
    case "store_unavailable":
    case "shard_full":
    case "not_owner":
    case "owner_unreachable":
      return 503;
    default:
      return assertNever(reason);
  }
}

/** Converts a job error to a reply. Rethrows any other error. */
export function createErrorReply(error: unknown): JobReply {
  if (error instanceof JobOutcomeUnknownError) {
    const body = Buffer.from(JSON.stringify({ error: error.toJSON() }));
    const outcome = "outcome_unknown";
    return { status: 504, outcome, headers: JSON_HEADERS, body };
  }
  if (!(error instanceof JobRefusedError)) throw error;
  const { retryAfterMs } = error;
  const headers = retryAfterMs === undefined ? JSON_HEADERS : [
    ...JSON_HEADERS,
    "retry-after",
    String(Math.ceil(retryAfterMs / 1_000)),
  ];
  const fields = retryAfterMs === undefined ? {} : { retryAfterMs };
  const body = Buffer.from(
    JSON.stringify({ error: { ...error.toJSON(), ...fields } }),
  );
  return { status: statusOf(error.kind), outcome: "not_run", headers, body };
}
