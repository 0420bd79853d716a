import { z } from "zod";
import { STORE_CALL_TIMEOUT_MS } from "../constants.ts";
import { messageOf, StoreError } from "../errors.ts";
import { isNotSent } from "../http_call.ts";
import {
  type JsonRequestOptions,
  type JsonResponse,
  requestJson,
} from "./http_json.ts";
import type {
  LeaseResult,
  Store,
  SwapResult,
  VersionedValue,
} from "./store.ts";

const valueSchema = z.object({ value: z.string(), version: z.number().int() });
const versionSchema = z.object({ version: z.number().int() });
const leaseSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("granted"), fencingToken: z.number().int() }),
  z.object({ kind: z.literal("held"), holder: z.string() }),
]);

/** Time added to a watch's wait time to get its timeout, in ms. */
const WATCH_TIMEOUT_MARGIN_MS = 2_000;

interface CallOptions extends JsonRequestOptions {
  /** Whether the call may change the store; if so, its outcome is unknown when the response is lost. */
  readonly mayWrite: boolean;
  /** HTTP statuses from 400 to 499 that the protocol defines as regular responses. */
  readonly expectedStatuses?: readonly number[];
}

/** Creates a client of the store's HTTP protocol. */
export function createHttpStore(baseUrl: string): Store {
  const valueUrl = (key: string) =>
    `${baseUrl}/v1/values/${encodeURIComponent(key)}`;
  const leaseUrl = (name: string) =>
    `${baseUrl}/v1/leases/${encodeURIComponent(name)}`;

  async function call(
    url: string,
    options: CallOptions,
  ): Promise<JsonResponse> {
    let response: JsonResponse;
    try {
      response = await requestJson(url, options);
    } catch (error) {
      const failure = options.mayWrite && !isNotSent(error)
        ? "unknown_outcome"
        : "unavailable";
      throw new StoreError(
        failure,
        `Store request failed: ${messageOf(error)}`,
      );
    }
    const { status } = response;
    if (status >= 500) {
      throw new StoreError(
        options.mayWrite ? "unknown_outcome" : "unavailable",
        `Store responded with status ${status}`,
      );
    }
    if (status === 429) {
      // The store applies its rate limit before it executes a request, so a write has no effect.
      throw new StoreError(
        "unavailable",
        "Store rate limit exceeded (status 429)",
      );
    }
    if (status >= 400 && !options.expectedStatuses?.includes(status)) {
      throw new StoreError(
        "rejected",
        `The store refused the call with status ${status}`,
      );
    }
    return response;
  }

  function parseBody<T extends z.ZodType>(
    schema: T,
    response: JsonResponse,
    options: { mayWrite: boolean },
  ): z.output<T> {
    const result = schema.safeParse(response.body);
    if (result.success) return result.data;
    throw new StoreError(
      options.mayWrite ? "unknown_outcome" : "unavailable",
      "Store response doesn't match the expected schema",
    );
  }

  return {
    async get(key, signal): Promise<VersionedValue | undefined> {
      const response = await call(valueUrl(key), {
        timeoutMs: STORE_CALL_TIMEOUT_MS,
        signal,
        mayWrite: false,
        expectedStatuses: [404],
      });
      return response.status === 404
        ? undefined
        : parseBody(valueSchema, response, { mayWrite: false });
    },

    async compareAndSwap(
      { key, expectedVersion, value },
      signal,
    ): Promise<SwapResult> {
      const response = await call(valueUrl(key), {
        method: "PUT",
        body: { expectedVersion, value },
        timeoutMs: STORE_CALL_TIMEOUT_MS,
        signal,
        mayWrite: true,
        expectedStatuses: [409],
      });
      const { version } = parseBody(versionSchema, response, {
        mayWrite: true,
      });
      return {
        kind: response.status === 409 ? "conflict" : "swapped",
        version,
      };
    },

    async watch(
      key,
      { afterVersion, waitMs, signal },
    ): Promise<VersionedValue | undefined> {
      const query = `?afterVersion=${afterVersion}&waitMs=${waitMs}`;
      const response = await call(valueUrl(key) + query, {
        timeoutMs: waitMs + WATCH_TIMEOUT_MARGIN_MS,
        signal,
        mayWrite: false,
      });
      return response.status === 204
        ? undefined
        : parseBody(valueSchema, response, { mayWrite: false });
    },

    async acquireLease(name, { holder, ttlMs, signal }): Promise<LeaseResult> {
      const response = await call(leaseUrl(name), {
        method: "POST",
        body: { holder, ttlMs },
        timeoutMs: STORE_CALL_TIMEOUT_MS,
        signal,
        mayWrite: true,
      });
      const result = parseBody(leaseSchema, response, { mayWrite: true });
      return result.kind === "held" ? result : {
        kind: "granted",
        lease: { name, holder, ttlMs, fencingToken: result.fencingToken },
      };
    },

    async releaseLease(name, holder): Promise<void> {
      await call(`${leaseUrl(name)}?holder=${encodeURIComponent(holder)}`, {
        method: "DELETE",
        timeoutMs: STORE_CALL_TIMEOUT_MS,
        mayWrite: true,
      });
    },
  };
}
