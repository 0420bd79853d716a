import type { Operation } from "effection";
import type { Logger } from "../logger.ts";
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

/** The operators' configuration and maintenance waves that this entry has read. */
export interface OperatorState {
  /** Returns the latest configuration; undefined until one has been read. */
  config(): SchedulerConfig | undefined;
  /** Returns the requested maintenance waves, by wave number. */
  waves(): ReadonlyMap<number, WaveRequest>;
  run(): Operation<void>;
}

/** Watches the operators' configuration and maintenance waves in the store. */
export function createOperatorState(options: {
  readonly store: RecordStore;
  readonly records: PlatformRecordCodec;
  readonly log: Logger;
}): OperatorState {
  const { store, records, log } = options;
  const waves = new Map<number, WaveRequest>();
  /** Number of the wave that each key requests. */
  const waveNumbers = new Map<string, number>();
  let config: SchedulerConfig | undefined;

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
      return;
    }
    const wave = records.readWave(item);
    if (wave === undefined) return;
    waveNumbers.set(item.key, wave.wave);
    waves.set(wave.wave, wave);
  }

  return {
    config: () => config,
    waves: () => waves,
    run: () =>
      watchPrefix({
        store,
        prefix: records.operatorPrefix,
        log,
        waitMs: WATCH_WAIT_MS,
        pauseMs: () => 0,
        onSnapshot,
        onPut,
        onDelete,
      }),
  };
}
