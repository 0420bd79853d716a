import "reflect-metadata";
import {
  container,
  type DependencyContainer,
  type InjectionToken,
} from "tsyringe";
import { type Clock, systemClock } from "../clock.ts";
import { type BufferedLog, createBufferedLog } from "../logger.ts";
import type { StopSignals } from "../signals.ts";
import { createSupervisor, type Supervisor } from "../supervisor.ts";
import { createElection, type Election } from "./election.ts";
import type { SchedulerEntryDependencies } from "./entry.ts";
import { createJobFrontend, type JobFrontend } from "./job_frontend.ts";
import { createJobListener, type JobProtocol } from "./job_api.ts";
import { createOperatorState, type OperatorState } from "./operator_state.ts";
import { nativeJobProtocol } from "./native_job_protocol.ts";
import { createEntryClient } from "./entry_client.ts";
import { canConnect } from "./owner_reachability.ts";
import type {
  PlacementAdvisor,
  PlatformRecordCodec,
  RecordStore,
  VmApi,
  WorkerControl,
} from "./ports.ts";
import { createRequestStats, type RequestStats } from "./request_stats.ts";
import { resolveCandidateDelayMs, type SchedulerSettings } from "./settings.ts";
import { createStoreHealth, type StoreHealth } from "./store_health.ts";

function token<T>(name: string): InjectionToken<T> {
  return Symbol(name);
}

/** Margin added to the minimum time between orders of two owners for one VM, in ms, because the clocks of entries differ. */
const HOLDER_GAP_MARGIN_MS = 300;

const TOKENS = {
  clock: token<Clock>("clock"),
  log: token<BufferedLog>("log"),
  operator: token<OperatorState>("operator"),
  election: token<Election>("election"),
  front: token<JobFrontend>("front"),
  health: token<StoreHealth>("health"),
  stats: token<RequestStats>("stats"),
  supervisor: token<Supervisor>("supervisor"),
};

/** Adapters through which the scheduler uses the platform. */
export interface PlatformAdapters {
  readonly store: RecordStore;
  readonly records: PlatformRecordCodec;
  readonly control: WorkerControl;
  readonly fleet: VmApi;
  readonly advice: PlacementAdvisor;
  /** Job protocol of the platform's callers. */
  readonly callers: JobProtocol;
}

function registerDependencies(
  parts: DependencyContainer,
  settings: SchedulerSettings,
  platform: (log: BufferedLog) => PlatformAdapters,
): PlatformAdapters {
  function single<T>(key: InjectionToken<T>, create: () => T): void {
    let value: { value: T } | undefined;
    parts.register(key, {
      useFactory: () => (value ??= { value: create() }).value,
    });
  }
  single(TOKENS.clock, () => systemClock);
  single(
    TOKENS.log,
    () => createBufferedLog(settings.logLevel, settings.entryId),
  );
  const adapters = platform(parts.resolve(TOKENS.log));
  const { loggers } = parts.resolve(TOKENS.log);
  single(TOKENS.stats, () => createRequestStats(parts.resolve(TOKENS.clock)));
  single(TOKENS.supervisor, () => createSupervisor(loggers("supervisor")));
  single(
    TOKENS.operator,
    () => createOperatorState({ ...adapters, log: loggers("config") }),
  );
  single(TOKENS.health, () => createStoreHealth(parts.resolve(TOKENS.clock)));
  single(TOKENS.election, () =>
    createElection({
      ...adapters,
      entryId: settings.entryId,
      self: { entryId: settings.entryId, address: settings.listen.peers },
      seedPeers: settings.seedPeers,
      connect: createEntryClient,
      probe: canConnect,
      onStoreAnswer: () => parts.resolve(TOKENS.health).recordSuccess(),
      onStoreFailure: () => parts.resolve(TOKENS.health).recordFailure(),
      clock: parts.resolve(TOKENS.clock),
      log: loggers("owner"),
      random: Math.random,
      candidateDelayMs: resolveCandidateDelayMs(settings),
      config: parts.resolve(TOKENS.operator).config,
      waves: parts.resolve(TOKENS.operator).waves,
      keepEndedMs: settings.bounds.keepEndedS * 1_000,
      holderGapMs: settings.bounds.holderGapMs + HOLDER_GAP_MARGIN_MS,
    }));
  single(TOKENS.front, () =>
    createJobFrontend({
      store: adapters.store,
      health: parts.resolve(TOKENS.health),
      clock: parts.resolve(TOKENS.clock),
      log: loggers("front"),
      config: parts.resolve(TOKENS.operator).config,
      ownerClient: () => parts.resolve(TOKENS.election).ownerClient(),
      onOwnerAnswer: () => parts.resolve(TOKENS.stats).recordOwnerContact(),
      onOwnerUnresponsive: () => parts.resolve(TOKENS.election).suspectOwner(),
      onOwnerChanged: () => parts.resolve(TOKENS.election).discoverOwner(),
    }));
  return adapters;
}

/** Creates the components of a scheduler process. */
export function createSchedulerEntry(
  settings: SchedulerSettings,
  options: {
    readonly platform: (log: BufferedLog) => PlatformAdapters;
    readonly signals: StopSignals;
  },
): SchedulerEntryDependencies & { readonly processLog: BufferedLog } {
  const parts = container.createChildContainer();
  const adapters = registerDependencies(parts, settings, options.platform);
  const log = parts.resolve(TOKENS.log);
  const resolved = {
    operator: parts.resolve(TOKENS.operator),
    front: parts.resolve(TOKENS.front),
    stats: parts.resolve(TOKENS.stats),
    clock: parts.resolve(TOKENS.clock),
  };
  return {
    ...resolved,
    settings,
    log: log.loggers("entry"),
    store: adapters.store,
    health: parts.resolve(TOKENS.health),
    election: parts.resolve(TOKENS.election),
    supervisor: parts.resolve(TOKENS.supervisor),
    signals: options.signals,
    createCallerListener: (isStopping) =>
      createJobListener({
        ...resolved,
        protocols: [nativeJobProtocol, adapters.callers],
        isStopping,
      }),
    droppedLogLines: log.droppedLines,
    processLog: log,
  };
}
