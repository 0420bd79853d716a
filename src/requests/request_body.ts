import type { IncomingMessage } from "node:http";
import { type BodyLimits, collectBody } from "../connections/collect_body.ts";
import { assertNever } from "../errors.ts";
import { NotRunError } from "./outcome.ts";

/** A body that is being read. */
export interface BodyRead {
  /** Resolves with the body, or with undefined if it is empty; rejects with a `NotRunError`. */
  readonly body: Promise<Buffer | undefined>;
  /** Aborts reading with an error, such as one of the HTTP parser. */
  fail(error: NotRunError): void;
}

/** Suggested retry delay when the memory for request bodies is used up, in ms. */
const BODY_MEMORY_RETRY_MS = 500;

/** Starts reading a request's body, up to the limits. */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): BodyRead {
  const { result, cancel } = collectBody(request, limits);
  let fail!: (error: NotRunError) => void;
  const body = new Promise<Buffer | undefined>((resolve, reject) => {
    fail = (error) => {
      cancel();
      reject(error);
    };
    result.then((collected) => {
      switch (collected.kind) {
        case "complete":
          return resolve(
            collected.body.length === 0 ? undefined : collected.body,
          );
        case "too_large":
          return reject(bodyTooLarge(limits.maximumBodyBytes));
        case "too_slow":
          return reject(
            new NotRunError("slow_sender", "The body arrives too slowly"),
          );
        case "no_memory":
          return reject(bodyMemoryFull());
        case "incomplete":
          return reject(
            new NotRunError("malformed_request", "The body ended early"),
          );
        default:
          return assertNever(collected);
      }
    });
  });
  return { body, fail };
}

/** Returns the error for a body over the limit. */
export function bodyTooLarge(maximumBodyBytes: number): NotRunError {
  return new NotRunError(
    "body_too_large",
    `The body is larger than ${maximumBodyBytes} bytes`,
  );
}

/** Returns the error for a body that the entry has no memory for. */
export function bodyMemoryFull(): NotRunError {
  return new NotRunError(
    "queue_full",
    "Too many request bodies are held",
    BODY_MEMORY_RETRY_MS,
  );
}
