import type { QueueConfig, SchedulerConfig } from "../ports.ts";
import { type ApiKeyIndex, createApiKeyIndex } from "./api_keys.ts";

/**
 * Age of the latest news of the configuration from which a newer version may be
 * in force, in ms. A watch of the store responds every 1.8 s at the latest.
 */
const STALE_AFTER_MS = 2_500;
/** Retry time for requests whose key may be in a version that this entry hasn't read, in ms. */
const UNKNOWN_KEY_RETRY_MS = 1_000;

/** Limits on accepting keys while the operators' configuration can't be read. */
export interface RevocationRules {
  /** Whether keys are refused once the configuration may be older than `revocationMs`. */
  readonly strict: boolean;
  /** Time within which a withdrawn key must be refused, in ms. */
  readonly revocationMs: number;
}

/** Whether a request may use a queue, and for which workspace. */
export type Authentication =
  /** `workspace` is empty if the queue is public or the deployment has no workspaces. */
  | { readonly kind: "allowed"; readonly workspace: string }
  | { readonly kind: "unknown_key" }
  /** The entry's configuration may be outdated, so that it can't decide. */
  | { readonly kind: "undecided"; readonly retryAfterMs: number };

/** Checks the API keys of requests. */
export interface Authenticator {
  /** `configAgeMs` is the time since the configuration was known to be the latest, in ms. */
  authenticate(
    config: SchedulerConfig,
    request: {
      readonly queue: QueueConfig;
      readonly key: string;
      readonly configAgeMs: number;
    },
  ): Authentication;
}

/** Creates the authenticator of an entry. */
export function createAuthenticator(rules: RevocationRules): Authenticator {
  /** Index of the latest configuration, made at its first request. */
  let cached:
    | { readonly config: SchedulerConfig; readonly index: ApiKeyIndex }
    | undefined;

  function indexOf(config: SchedulerConfig): ApiKeyIndex {
    if (cached?.config !== config) {
      cached = { config, index: createApiKeyIndex(config.workspaces ?? []) };
    }
    return cached.index;
  }

  return {
    authenticate(config, { queue, key, configAgeMs }) {
      if (config.workspaces === undefined || queue.isPublic) {
        return { kind: "allowed", workspace: "" };
      }
      const undecided = {
        kind: "undecided",
        retryAfterMs: UNKNOWN_KEY_RETRY_MS,
      } as const;
      if (rules.strict && configAgeMs > rules.revocationMs) return undecided;
      const workspace = key === "" ? undefined : indexOf(config).find(key);
      if (workspace !== undefined) {
        return { kind: "allowed", workspace: workspace.name };
      }
      // A key that was added a moment ago must not be refused for good.
      return key !== "" && configAgeMs > STALE_AFTER_MS
        ? undecided
        : { kind: "unknown_key" };
    },
  };
}
