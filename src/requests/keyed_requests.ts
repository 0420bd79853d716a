import { createHash } from "node:crypto";
import { type Operation, type Scope, until } from "effection";
import type { Clock } from "../clock.ts";
import type { ServiceConfig } from "../config/schema.ts";
import {
  DEADLINE_HEADER,
  FORWARDED_BY_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  OUTCOME_HEADER,
} from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { Observable } from "../observable.ts";
import type { EntryDigest } from "../peers/messages.ts";
import { BackendConnections } from "./backend_connections.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { ExchangeResult } from "./exchange.ts";
import { filterRequestHeaders, findHeader } from "./headers.ts";
import {
  createKeyIssuer,
  type IssuedKey,
  type KeyCheck,
  type KeyIssuer,
} from "./idempotency_keys.ts";
import { KeyOutcomes, resolveKeyLimits } from "./key_outcomes.ts";
import { notRun, type Outcome, outcomeUnknown } from "./outcome.ts";

/** Dependencies of keyed requests. */
export interface KeyedRequestsOptions {
  readonly entryId: string;
  readonly incarnation: string;
  /** Memory of the VM, in MB. */
  readonly memoryMb: number;
  readonly entries: Observable<readonly EntryDigest[]>;
  readonly clock: Clock;
  readonly scope: Scope;
  /** Returns a refusal while this entry accepts no new requests. */
  readonly findRefusal: (request: CallerRequest) => Outcome | undefined;
  readonly run: (
    request: CallerRequest,
    service: ServiceConfig,
  ) => Operation<Outcome>;
}

/** Suggested retry delay when the key table is full, in ms. */
const KEY_TABLE_RETRY_MS = 5_000;
/** Suggested retry delay when a key's outcome isn't known yet, in ms. */
const OUTCOME_RETRY_MS = 1_000;
/** Maximum connections to one peer for forwarded requests. */
const MAXIMUM_PEER_CONNECTIONS = 256;
/** Fraction of the remaining time that is reserved for the response's way back from the issuing entry. */
const RESPONSE_TRANSFER_FRACTION = 0.05;
/** Maximum time that is reserved for the response's way back, in ms. */
const MAXIMUM_RESPONSE_TRANSFER_MS = 50;

/** Handles requests with an idempotency key, so that at most one request runs per key. */
export class KeyedRequests {
  #options: KeyedRequestsOptions;
  #issuer: KeyIssuer;
  #outcomes: KeyOutcomes;
  #peers = new Map<string, BackendConnections>();
  #running = 0;
  #idleListeners: (() => void)[] = [];

  constructor(options: KeyedRequestsOptions) {
    this.#options = options;
    this.#issuer = createKeyIssuer(options);
    this.#outcomes = new KeyOutcomes(
      resolveKeyLimits(options.memoryMb),
      outcomeUnknown(
        "outcome_not_kept",
        "The request has run, but its response isn't kept any more",
      ),
    );
  }

  /** Number of keyed requests that are running, including those whose caller has disconnected. */
  get running(): number {
    return this.#running;
  }

  /** Resolves once no keyed request is running. */
  whenIdle(): Promise<void> {
    if (this.#running === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /** Issues a new idempotency key. */
  issue(): IssuedKey {
    return this.#issuer.issue();
  }

  /** Returns the outcome of the key's only run, on this entry or forwarded to the issuing entry. */
  *handle(
    request: CallerRequest,
    service: ServiceConfig,
  ): Operation<Outcome> {
    const check = this.#issuer.check(request.key ?? "");
    switch (check.kind) {
      case "malformed":
        return notRun("malformed_key", "The idempotency key is malformed");
      case "forged":
        return notRun("forged_key", "The idempotency key isn't genuine");
      case "other_issuer":
        return yield* this.#forward(request, check);
      case "own_issuer":
        return yield* until(this.#runOnce(request, service, check));
    }
  }

  /** Removes the outcomes of expired keys, and closes the connections to entries that are gone. */
  removeExpired(): void {
    this.#outcomes.removeExpired(this.#options.clock.monotonicMs());
    const addresses = new Set(
      this.#options.entries.get().map((digest) => digest.callerAddress),
    );
    for (const [address, connections] of this.#peers) {
      if (addresses.has(address)) continue;
      connections.close();
      this.#peers.delete(address);
    }
  }

  /** Returns the size of the key table for the dump. */
  describe(): unknown {
    return this.#outcomes.describe();
  }

  close(): void {
    for (const connections of this.#peers.values()) connections.close();
  }

  #runOnce(
    request: CallerRequest,
    service: ServiceConfig,
    key: Extract<KeyCheck, { kind: "own_issuer" }>,
  ): Promise<Outcome> {
    const fingerprint = computeFingerprint(request);
    const record = this.#outcomes.get(key.sequence);
    if (record !== undefined) {
      return record.fingerprint === fingerprint
        ? this.#waitFor(record.outcome, request)
        : Promise.resolve(
          notRun("key_reused", "The key was used for another request"),
        );
    }
    const refusal = this.#checkNewKey(request, key);
    if (refusal !== undefined) return Promise.resolve(refusal);
    this.#running++;
    // The request continues after its caller disconnects, so that a repeated request gets its outcome.
    const detached: CallerRequest = { ...request, isAbandoned: () => false };
    const run: Promise<Outcome> = this.#options.scope
      .run(() => this.#options.run(detached, service))
      .catch((error) => outcomeUnknown("internal", messageOf(error)))
      .finally(() => this.#onRunEnded());
    const { sequence, expiresAtMs } = key;
    return this.#outcomes.start({ sequence, expiresAtMs, fingerprint }, run)
      .outcome;
  }

  #onRunEnded(): void {
    if (--this.#running > 0) return;
    for (const listener of this.#idleListeners.splice(0)) listener();
  }

  #checkNewKey(
    request: CallerRequest,
    key: Extract<KeyCheck, { kind: "own_issuer" }>,
  ): Outcome | undefined {
    if (key.expiresAtMs <= this.#options.clock.monotonicMs()) {
      return this.#outcomes.wasUsed(key.sequence)
        ? outcomeUnknown(
          "key_expired_after_use",
          "The idempotency key has expired; a request with it has run",
        )
        : notRun("expired_key", "The idempotency key has expired");
    }
    if (this.#outcomes.isFull) {
      return notRun(
        "key_table_full",
        "Too many idempotency keys are in use",
        KEY_TABLE_RETRY_MS,
      );
    }
    return this.#options.findRefusal(request);
  }

  #waitFor(
    outcome: Promise<Outcome>,
    request: CallerRequest,
  ): Promise<Outcome> {
    const remainingMs = request.deadlineAtMs -
      this.#options.clock.monotonicMs();
    return new Promise((resolve) => {
      const timer = setTimeout(
        () =>
          resolve(outcomeUnknown(
            "waiting_for_first_run",
            "The first request with this key is still running",
            OUTCOME_RETRY_MS,
          )),
        Math.max(0, remainingMs),
      );
      outcome.then((value) => {
        clearTimeout(timer);
        // A streamed response can only be sent to the first caller.
        resolve(
          value.kind === "streamed_answer"
            ? outcomeUnknown("outcome_not_kept", "The response wasn't kept")
            : value,
        );
      });
    });
  }

  *#forward(
    request: CallerRequest,
    issuer: Extract<KeyCheck, { kind: "other_issuer" }>,
  ): Operation<Outcome> {
    const peer = this.#options.entries.get().find((digest) =>
      digest.entryId === issuer.entryId &&
      digest.incarnation === issuer.incarnation
    );
    // Only the issuer knows whether a request with the key has run.
    const unreachable = outcomeUnknown(
      "key_issuer_unreachable",
      "The entry that issued the key can't be reached",
      OUTCOME_RETRY_MS,
    );
    if (peer === undefined || request.forwardedBy !== undefined) {
      return unreachable;
    }
    const connections = this.#connectionsTo(peer.callerAddress);
    if (connections.available <= 0) return unreachable;
    const { result } = this.#send(request, connections);
    return toForwardedOutcome(yield* until(result), unreachable);
  }

  #send(request: CallerRequest, connections: BackendConnections) {
    const remainingMs = () =>
      request.deadlineAtMs - this.#options.clock.monotonicMs();
    const initialRemainingMs = Math.max(1, remainingMs());
    const responseTransferMs = Math.min(
      MAXIMUM_RESPONSE_TRANSFER_MS,
      initialRemainingMs * RESPONSE_TRANSFER_FRACTION,
    );
    const headers = filterRequestHeaders(request.rawHeaders);
    headers.push(
      DEADLINE_HEADER,
      String(Math.max(1, Math.floor(initialRemainingMs - responseTransferMs))),
      FORWARDED_BY_HEADER,
      this.#options.entryId,
      IDEMPOTENCY_KEY_HEADER,
      request.key!,
    );
    return connections.send({ ...request, headers }, remainingMs);
  }

  #connectionsTo(address: string): BackendConnections {
    let connections = this.#peers.get(address);
    if (connections === undefined) {
      connections = new BackendConnections(address, MAXIMUM_PEER_CONNECTIONS);
      this.#peers.set(address, connections);
    }
    return connections;
  }
}

function computeFingerprint(request: CallerRequest): string {
  return createHash("sha256")
    .update(`${request.method} ${request.path}\n`)
    .update(request.body ?? "")
    .digest("base64");
}

function toForwardedOutcome(
  result: ExchangeResult,
  unreachable: Outcome,
): Outcome {
  if (result.kind === "failed") {
    return result.reason === "timeout"
      ? outcomeUnknown(
        "timeout",
        "The issuing entry didn't answer in time",
        OUTCOME_RETRY_MS,
      )
      : unreachable;
  }
  const outcome = findHeader(result.response.headers, OUTCOME_HEADER);
  return outcome === undefined
    ? unreachable
    : { kind: "forwarded", outcome, response: result.response };
}
