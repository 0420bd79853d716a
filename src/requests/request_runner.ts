import { type Operation, until } from "effection";
import type { Clock } from "../clock.ts";
import type { ServiceConfig } from "../config/schema.ts";
import { DEADLINE_HEADER } from "../constants.ts";
import type { Admission, AdmissionQueues } from "./admission.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { ExchangeResult } from "./exchange.ts";
import { filterRequestHeaders } from "./headers.ts";
import type { AttemptResult } from "./instance_state.ts";
import { NotRunError, type Outcome, outcomeUnknown } from "./outcome.ts";
import {
  createRetryBudget,
  decideRetry,
  refillRetryBudget,
  type RetryBudget,
} from "./retry_budget.ts";
import type { Router, SlotGrant } from "./router.ts";
import { addRetryJitter } from "./shedding.ts";

/** Dependencies of the request runner. */
export interface RequestRunnerOptions {
  readonly router: Router;
  readonly admission: AdmissionQueues;
  readonly clock: Clock;
  /** Called for each refusal, with the inputs of the decision. */
  readonly onRefusal: (
    request: CallerRequest,
    error: NotRunError,
    details?: Record<string, unknown>,
  ) => void;
}

/** Suggested retry delay when no instance could be reached, in ms. */
const UNREACHABLE_RETRY_MS = 500;

/** Suggested retry delay when the outcome of a request that is safe to retry is unknown, in ms. */
const UNKNOWN_OUTCOME_RETRY_MS = 1_000;

/** Runs requests on backend servers, with admission control and retries. */
export class RequestRunner {
  #options: RequestRunnerOptions;
  #budgets = new Map<string, RetryBudget>();

  constructor(options: RequestRunnerOptions) {
    this.#options = options;
  }

  /** Runs a request and returns its final outcome. */
  *run(request: CallerRequest, service: ServiceConfig): Operation<Outcome> {
    const { admission, router, clock } = this.#options;
    const idempotent = service.idempotentMethods.includes(request.method) &&
      request.key === undefined;
    const excluded = new Set<string>();
    let sent = false;
    admission.recordArrival(service.name);
    for (let attempts = 1;; attempts++) {
      const acquired = admission.acquire({
        service,
        idempotent,
        deadlineAtMs: request.deadlineAtMs,
        excluded,
        isAbandoned: request.isAbandoned,
      });
      const admitted: Admission = acquired instanceof Promise
        ? yield* until(acquired)
        : acquired;
      if (admitted.kind === "refused") {
        return sent
          ? outcomeUnknown(
            "connection_lost",
            "The last attempt failed",
            unknownOutcomeRetryMs(request, service),
          )
          : this.#refuse(request, admitted.error, admitted.details);
      }
      const { grant } = admitted;
      const result = yield* until(this.#attempt(request, grant));
      if (result.kind !== "failed") {
        if (result.response.status < 500) this.#refill(service);
        return result.kind === "complete"
          ? { kind: "answer", response: result.response }
          : { kind: "streamed_answer", response: result.response };
      }
      sent ||= result.sent;
      excluded.add(grant.instanceState.instance.vmId);
      const decision = decideRetry({
        sent,
        idempotent,
        attempts,
        remainingMs: request.deadlineAtMs - clock.monotonicMs(),
        otherInstance: router.hasInstance(service.name, excluded),
        budget: this.#getBudget(service),
      });
      if (decision.kind === "stop") {
        return this.#toFailureOutcome(request, sent, {
          result,
          retryAfterMs: unknownOutcomeRetryMs(request, service),
        });
      }
      this.#budgets.set(service.name, decision.budget);
    }
  }

  /** Returns the retry budgets for the dump. */
  describe(): unknown {
    return Object.fromEntries(this.#budgets);
  }

  /** Sends the request to the granted instance; the slot is released when the exchange ends. */
  async #attempt(
    request: CallerRequest,
    grant: SlotGrant,
  ): Promise<ExchangeResult> {
    const { clock, admission, router } = this.#options;
    const startedAtMs = clock.monotonicMs();
    const remainingMs = () => request.deadlineAtMs - clock.monotonicMs();
    const headers = filterRequestHeaders(request.rawHeaders);
    headers.push(
      DEADLINE_HEADER,
      String(Math.max(0, Math.floor(remainingMs()))),
    );
    const exchange = grant.instanceState.connections.send(
      { ...request, headers },
      remainingMs,
    );
    const result = await exchange.result;
    const latencyMs = () => clock.monotonicMs() - startedAtMs;
    if (result.kind !== "failed" && result.leaving) router.markLeaving(grant);
    if (result.kind === "streaming") {
      exchange.ended.then((complete) =>
        admission.release(
          grant,
          complete
            ? { kind: "response", latencyMs: latencyMs() }
            // The caller may have disconnected, which isn't a failure of the instance.
            : { kind: "timeout" },
        )
      );
    } else admission.release(grant, toAttemptResult(result, latencyMs()));
    return result;
  }

  #toFailureOutcome(
    request: CallerRequest,
    sent: boolean,
    { result, retryAfterMs }: {
      readonly result: Extract<ExchangeResult, { kind: "failed" }>;
      readonly retryAfterMs: number | undefined;
    },
  ): Outcome {
    if (sent) {
      return outcomeUnknown(result.reason, result.message, retryAfterMs);
    }
    return this.#refuse(
      request,
      result.reason === "timeout"
        ? new NotRunError("deadline_expired", result.message, 0)
        : new NotRunError(
          "backend_unreachable",
          result.message,
          UNREACHABLE_RETRY_MS,
        ),
    );
  }

  #refuse(
    request: CallerRequest,
    error: NotRunError,
    details?: Record<string, unknown>,
  ): Outcome {
    this.#options.onRefusal(request, error, details);
    return { kind: "not_run", error };
  }

  #getBudget(service: ServiceConfig): RetryBudget {
    return this.#budgets.get(service.name) ??
      createRetryBudget(service.retryBudgetPercent);
  }

  #refill(service: ServiceConfig): void {
    this.#budgets.set(
      service.name,
      refillRetryBudget(this.#getBudget(service), service.retryBudgetPercent),
    );
  }
}

/**
 * Returns the suggested retry delay for an unknown outcome; undefined unless a
 * retry is safe. A retry is safe for idempotent methods, and for keyed requests,
 * which return the outcome of the first run.
 */
function unknownOutcomeRetryMs(
  request: CallerRequest,
  service: ServiceConfig,
): number | undefined {
  const retryIsSafe = request.key !== undefined ||
    service.idempotentMethods.includes(request.method);
  return retryIsSafe
    ? addRetryJitter(UNKNOWN_OUTCOME_RETRY_MS, Math.random())
    : undefined;
}

function toAttemptResult(
  result: ExchangeResult,
  latencyMs: number,
): AttemptResult {
  if (result.kind !== "failed") return { kind: "response", latencyMs };
  return { kind: result.reason === "timeout" ? "timeout" : "failure" };
}
