import { assertNever, RetryableError } from "../errors.ts";

/** Why a request was not run. */
export type RefusalReason =
  | "not_configured"
  | "draining"
  | "isolated"
  | "no_instance"
  | "queue_full"
  | "deadline_unreachable"
  | "deadline_expired"
  | "backend_unreachable"
  | "caller_gone"
  | "key_table_full"
  | "unknown_service"
  | "unknown_resource"
  | "method_not_allowed"
  | "malformed_request"
  | "invalid_path"
  | "invalid_deadline"
  | "body_too_large"
  | "headers_too_large"
  | "slow_sender"
  | "malformed_key"
  | "forged_key"
  | "expired_key"
  | "key_reused";

/** Why it is unknown whether a request ran. */
export type UnknownReason =
  | "timeout"
  | "connection_lost"
  | "incomplete_response"
  | "wrong_response"
  | "unframed_response"
  | "key_issuer_unreachable"
  | "key_not_checked"
  | "key_expired_after_use"
  | "outcome_not_kept"
  | "waiting_for_first_run"
  | "internal";

/** The request was not run: no byte of it was sent to a backend server. */
export class NotRunError extends RetryableError<RefusalReason> {}

/** The request may have run, and the entry doesn't retry it; without `retryAfterMs`, a retry by the caller could run it twice. */
export class OutcomeUnknownError extends RetryableError<UnknownReason> {}

/** A complete response in memory. */
export interface BufferedResponse {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A response that is too large to buffer and whose body is still arriving. */
export interface StreamedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly source: ResponseSource;
}

/** Receives a streamed response. */
export interface ResponseSink {
  /** Returns false when the source must pause until `resume` is called. */
  write(chunk: Buffer): boolean;
  end(): void;
  /** Called instead of `end` when the response is incomplete. */
  abort(): void;
}

/** Body of a response that is still arriving. */
export interface ResponseSource {
  /** Writes the data received so far and all further data to the sink. */
  pipeTo(sink: ResponseSink): void;
  resume(): void;
  /** Stops reading and destroys the connection to the backend server. */
  cancel(): void;
  /** Resolves once the response has ended; true if it is complete. */
  readonly ended: Promise<boolean>;
}

/** The final result of a request. */
export type Outcome =
  | { readonly kind: "answer"; readonly response: BufferedResponse }
  | { readonly kind: "streamed_answer"; readonly response: StreamedResponse }
  | { readonly kind: "not_run"; readonly error: NotRunError }
  | { readonly kind: "outcome_unknown"; readonly error: OutcomeUnknownError }
  /** A response of the key's issuing entry, with the outcome from its header. */
  | {
    readonly kind: "forwarded";
    readonly outcome: string;
    readonly response: BufferedResponse | StreamedResponse;
  };

/** Returns the outcome for a request that was not run. */
export function notRun(
  kind: RefusalReason,
  message: string,
  retryAfterMs?: number,
): Outcome {
  return {
    kind: "not_run",
    error: new NotRunError(kind, message, retryAfterMs),
  };
}

/** Returns the outcome for a request that may have run. */
export function outcomeUnknown(
  kind: UnknownReason,
  message: string,
  retryAfterMs?: number,
): Outcome {
  return {
    kind: "outcome_unknown",
    error: new OutcomeUnknownError(kind, message, retryAfterMs),
  };
}

/** Returns the HTTP status of a request that was not run. */
export function statusOfRefusal(reason: RefusalReason): number {
  switch (reason) {
    case "unknown_service":
    case "unknown_resource":
      return 404;
    case "method_not_allowed":
      return 405;
    case "slow_sender":
      return 408;
    case "expired_key":
      return 410;
    case "body_too_large":
      return 413;
    case "key_reused":
      return 422;
    case "headers_too_large":
      return 431;
    case "malformed_request":
    case "invalid_path":
    case "invalid_deadline":
    case "malformed_key":
      return 400;
    case "forged_key":
      return 403;
    case "not_configured":
    case "draining":
    case "isolated":
    case "no_instance":
    case "queue_full":
    case "deadline_unreachable":
    case "deadline_expired":
    case "backend_unreachable":
    case "caller_gone":
    case "key_table_full":
      return 503;
    default:
      return assertNever(reason);
  }
}

/** Returns the HTTP status of a request that may have run. */
export function statusOfUnknown(reason: UnknownReason): number {
  return reason === "timeout" || reason === "waiting_for_first_run" ? 504 : 502;
}

/** Returns the error response for a request without an answer, without the request id header. */
export function buildErrorResponse(
  error: NotRunError | OutcomeUnknownError,
): BufferedResponse {
  const { retryAfterMs } = error;
  const headers = ["content-type", "application/json"];
  if (retryAfterMs !== undefined) {
    headers.push("retry-after", String(Math.ceil(retryAfterMs / 1_000)));
  }
  return {
    status: error instanceof NotRunError
      ? statusOfRefusal(error.kind)
      : statusOfUnknown(error.kind),
    headers,
    body: Buffer.from(JSON.stringify({
      error: {
        ...error.toJSON(),
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
      },
    })),
  };
}

/** Returns whether an outcome refuses a request that isn't valid HTTP. */
export function isMalformed(outcome: Outcome): boolean {
  return outcome.kind === "not_run" &&
    outcome.error.kind === "malformed_request";
}

/** Cancels the source of a streamed response that no caller reads. */
export function cancelStream(outcome: Outcome): void {
  if ("response" in outcome && "source" in outcome.response) {
    outcome.response.source.cancel();
  }
}
