import { type Operation, until } from "effection";
import type { Clock } from "../clock.ts";
import type { ByteMeter } from "./byte_meter.ts";
import { createPeerClient, PeerError, type PeerFailure } from "./client.ts";
import type { Membership, MergeResult } from "./membership.ts";
import { createNotifier } from "../notifier.ts";

/** Maximum backoff between calls to a failing peer, in ms. */
const MAXIMUM_RETRY_DELAY_MS = 5_000;
/** Backoff after the first failed call; doubles with each further failure in a row, in ms. */
const FIRST_RETRY_DELAY_MS = 500;
/** Time after which an exchange is started if none was triggered, in ms. */
const IDLE_WAIT_MS = 60_000;

/** State of a peer link, as shown in the dump. */
export interface PeerLinkStatus {
  readonly address: string;
  /** Number of successful gossip calls. */
  readonly exchanges: number;
  readonly failuresInRow: number;
  /** Message of the last failure, also if later calls succeeded. */
  readonly lastFailure: string | undefined;
}

/** Link to one peer of the region, which makes the gossip calls to it. */
export interface PeerLink {
  readonly address: string;
  /** Monotonic time of the last `trigger`, in ms. */
  triggeredAtMs: number;
  /** Starts an exchange, after the current one if there is one. */
  trigger(nowMs: number): void;
  /** Whether the last call failed and its backoff hasn't ended. */
  isBackingOff(nowMs: number): boolean;
  /** Failure of the last call; undefined if it succeeded. */
  lastFailure(): PeerFailure | undefined;
  status(): PeerLinkStatus;
  /** Task that runs the triggered exchanges until it is halted. */
  run(): Operation<void>;
}

/** Dependencies of a peer link. */
export interface PeerLinkOptions {
  readonly address: string;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly meter: ByteMeter;
  /** Called after each merged reply of the peer. */
  readonly onMerged: (result: MergeResult) => void;
  /** Called after each successful call with its duration in ms. */
  readonly onCallEnd: (durationMs: number) => void;
}

/** Creates a link to the peer at `host:port`. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const { address, membership, clock } = options;
  const notifier = createNotifier();
  // Key of the profile that the peer has received; the profile is sent again after a failure.
  let sentProfileKey: string | undefined;
  let exchanges = 0;
  let failuresInRow = 0;
  let failedAtMs = 0;
  let lastError: PeerError | undefined;

  const retryDelayMs = () =>
    Math.min(
      FIRST_RETRY_DELAY_MS * 2 ** (failuresInRow - 1),
      MAXIMUM_RETRY_DELAY_MS,
    );

  function* exchange(
    client: ReturnType<typeof createPeerClient>,
  ): Operation<void> {
    const sender = membership.ownRecord();
    if (sender === undefined) return;
    const profileKey = sender.record[0];
    const startedAtMs = clock.monotonicMs();
    const reply = yield* until(client.exchange({
      have: membership.versionVector(clock.monotonicMs()),
      record: sender.record,
      ...(sentProfileKey === profileKey ? {} : { profile: sender.profile }),
    }));
    exchanges++;
    options.onCallEnd(clock.monotonicMs() - startedAtMs);
    sentProfileKey = profileKey;
    options.onMerged(
      membership.merge(
        { records: reply.records, profiles: reply.profiles ?? [] },
        clock.monotonicMs(),
      ),
    );
  }

  return {
    address,
    triggeredAtMs: 0,
    trigger(nowMs) {
      this.triggeredAtMs = nowMs;
      notifier.notify();
    },
    isBackingOff: (nowMs) =>
      failuresInRow > 0 && nowMs - failedAtMs < retryDelayMs(),
    lastFailure: () => failuresInRow > 0 ? lastError?.failure : undefined,
    status: () => ({
      address,
      exchanges,
      failuresInRow,
      lastFailure: lastError?.message,
    }),
    *run() {
      const client = createPeerClient(address, options.meter);
      try {
        while (true) {
          yield* notifier.wait(IDLE_WAIT_MS);
          try {
            yield* exchange(client);
            failuresInRow = 0;
          } catch (error) {
            if (!(error instanceof PeerError)) throw error;
            lastError = error;
            sentProfileKey = undefined;
            failuresInRow++;
            failedAtMs = clock.monotonicMs();
          }
        }
      } finally {
        client.close();
      }
    },
  };
}
