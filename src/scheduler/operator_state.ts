import { type Operation, sleep, spawn, until } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { createStopwatch, type Stopwatch } from "./stopwatch.ts";
import { watchPrefix } from "./watch_prefix.ts";
import type {
  PlatformRecordCodec,
  RecordStore,
  SchedulerConfig,
  StoredItem,
  WaveRequest,
} from "./ports.ts";

/**
 * Duration of one long poll, in ms. A change must take effect within 2 s after it
 * is acknowledged, and a dead connection is detected only when the long poll
 * times out.
 */
const WATCH_WAIT_MS = 1_800;
/** Interval at which other entries are asked for the configuration while the store doesn't respond, in ms. */
const PEER_READ_INTERVAL_MS = 500;
/** Time without a response of the store after which other entries are asked, in ms. */
const PEER_READ_AFTER_MS = WATCH_WAIT_MS + 300;

/** The operators' configuration and maintenance waves that this entry has read. */
export interface OperatorState {
  /** Returns the latest configuration; undefined until one has been read. */
  config(): SchedulerConfig | undefined;
  /** Returns the time since the store last confirmed that there is no later configuration, in ms. */
  configAgeMs(): number;
  /** Returns the stored item of the configuration if it was changed after a store revision. */
  configItemAfter(revision: number): StoredItem | undefined;
  /** Returns the requested maintenance waves, by wave number. */
  waves(): ReadonlyMap<number, WaveRequest>;
  run(): Operation<void>;
}

/** Watches the operators' configuration and maintenance waves in the store. */
export function createOperatorState(options: {
  readonly store: RecordStore;
  readonly records: PlatformRecordCodec;
  readonly clock: Clock;
  readonly log: Logger;
  /** Asks another entry for the item of a configuration that was changed after a store revision. */
  readonly readFromPeer: (
    revision: number,
  ) => Promise<StoredItem | undefined>;
}): OperatorState {
  const { store, records, log, clock } = options;
  const waves = new Map<number, WaveRequest>();
  /** Number of the wave that each key requests. */
  const waveNumbers = new Map<string, number>();
  let config: SchedulerConfig | undefined;
  let configItem: StoredItem | undefined;
  /** Time since the store last responded to the watch; undefined before the first response. */
  let contact: Stopwatch | undefined;
  let failing = false;

  const contactAgeMs = () => contact?.elapsedMs() ?? Infinity;

  function onDelete(key: string): void {
    const wave = waveNumbers.get(key);
    if (wave === undefined) return;
    waveNumbers.delete(key);
    waves.delete(wave);
    log.info("maintenance wave withdrawn", { wave });
  }

  function onSnapshot(items: readonly StoredItem[]): void {
    const keys = new Set(items.map(({ key }) => key));
    for (const key of [...waveNumbers.keys()]) {
      if (!keys.has(key)) onDelete(key);
    }
    items.forEach(onPut);
  }

  function onPut(item: StoredItem): void {
    const next = records.readConfig(item);
    if (next !== undefined) {
      // Ignores older versions, so that an entry never reverts to one.
      if (config !== undefined && next.version <= config.version) return;
      log.info("configuration in force", {
        from: config?.version,
        version: next.version,
        revision: item.revision,
        queues: next.queues.length,
      });
      config = next;
      configItem = item;
      return;
    }
    const wave = records.readWave(item);
    if (wave === undefined) return;
    waveNumbers.set(item.key, wave.wave);
    waves.set(wave.wave, wave);
  }

  /**
   * Reads the configuration from other entries while the store doesn't respond
   * to this one: it may serve the others, which then learn of withdrawn keys.
   */
  function* readFromPeers(): Operation<void> {
    for (;;) {
      yield* sleep(PEER_READ_INTERVAL_MS);
      if (config?.workspaces === undefined) continue;
      if (!failing && contactAgeMs() < PEER_READ_AFTER_MS) continue;
      const item = yield* until(
        options.readFromPeer(configItem?.revision ?? 0),
      );
      if (item === undefined) continue;
      log.info("configuration received from another entry", {
        revision: item.revision,
        storeSilentMs: Math.round(contactAgeMs()),
      });
      onPut(item);
    }
  }

  return {
    config: () => config,
    configAgeMs: contactAgeMs,
    configItemAfter: (revision) =>
      configItem !== undefined && configItem.revision > revision
        ? configItem
        : undefined,
    waves: () => waves,
    *run() {
      yield* spawn(readFromPeers);
      yield* watchPrefix({
        store,
        prefix: records.operatorPrefix,
        log,
        waitMs: WATCH_WAIT_MS,
        pauseMs: () => 0,
        onSnapshot,
        onPut,
        onDelete,
        onResponse() {
          failing = false;
          contact ??= createStopwatch(clock);
          contact.restart();
        },
        onFailure() {
          failing = true;
        },
      });
    },
  };
}
