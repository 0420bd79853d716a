import "reflect-metadata";
import {
  container,
  type DependencyContainer,
  type InjectionToken,
} from "tsyringe";
import { type Clock, systemClock } from "../clock.ts";
import { ConnectionBudget } from "../connections/connection_budget.ts";
import { resolveConnectionLimits } from "../connections/connection_limits.ts";
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
import { readConfigFromPeers } from "./peer_config.ts";
import type {
  PlacementAdvisor,
  PlatformRecordCodec,
  RecordStore,
  VmApi,
  WorkerControl,
} from "./ports.ts";
import { createRelayServer } from "./relay/server.ts";
import { createRequestStats, type RequestStats } from "./request_stats.ts";
import {
  resolveCandidateDelayMs,
  resolveLaneCount,
  type SchedulerSettings,
} from "./settings.ts";
import { createStoreHealth, type StoreHealth } from "./store_health.ts";
import { createWithdrawals, type Withdrawals } from "./withdrawals.ts";
import { createAuthenticator } from "./workspaces/authentication.ts";

function token<T>(name: string): InjectionToken<T> {
  return Symbol(name);
}

/** Margin added to the minimum time between orders of two owners for one VM, in ms, because the clocks of entries differ. */
const HOLDER_GAP_MARGIN_MS = 300;

/** Number of entries besides the owner that are asked for the configuration while the store doesn't respond. */
const CONFIG_PEERS = 2;

const TOKENS = {
  clock: token<Clock>("clock"),
  log: token<BufferedLog>("log"),
  operator: token<OperatorState>("operator"),
  election: token<Election>("election"),
  frontend: token<JobFrontend>("front"),
  health: token<StoreHealth>("health"),
  withdrawals: token<Withdrawals>("withdrawals"),
  stats: token<RequestStats>("stats"),
  supervisor: token<Supervisor>("supervisor"),
  /** Limits of the callers' connections. */
  budget: token<ConnectionBudget>("budget"),
};

/** Adapters through which the scheduler uses the platform. */
export interface PlatformAdapters {
  readonly store: RecordStore;
  readonly records: PlatformRecordCodec;
  readonly control: WorkerControl;
  readonly fleet: VmApi;
  readonly advice: PlacementAdvisor;
  /** Job protocol of the platform's callers. */
  readonly jobProtocol: JobProtocol;
}

function registerDependencies(
  scope: DependencyContainer,
  settings: SchedulerSettings,
  platform: (log: BufferedLog) => PlatformAdapters,
): PlatformAdapters {
  function registerSingleton<T>(key: InjectionToken<T>, create: () => T): void {
    let cached: { value: T } | undefined;
    scope.register(key, {
      useFactory: () => (cached ??= { value: create() }).value,
    });
  }
  registerSingleton(TOKENS.clock, () => systemClock);
  registerSingleton(
    TOKENS.log,
    () => createBufferedLog(settings.logLevel, settings.entryId),
  );
  const adapters = platform(scope.resolve(TOKENS.log));
  const { loggers } = scope.resolve(TOKENS.log);
  registerSingleton(
    TOKENS.stats,
    () => createRequestStats(scope.resolve(TOKENS.clock)),
  );
  registerSingleton(
    TOKENS.supervisor,
    () => createSupervisor(loggers("supervisor")),
  );
  registerSingleton(
    TOKENS.operator,
    () =>
      createOperatorState({
        ...adapters,
        clock: scope.resolve(TOKENS.clock),
        log: loggers("config"),
        readFromPeer: (revision) =>
          readConfigFromPeers(
            scope.resolve(TOKENS.election).peers(CONFIG_PEERS),
            revision,
          ),
      }),
  );
  registerSingleton(
    TOKENS.budget,
    () => new ConnectionBudget(resolveConnectionLimits(settings.limits)),
  );
  registerSingleton(
    TOKENS.health,
    () => createStoreHealth(scope.resolve(TOKENS.clock)),
  );
  registerSingleton(
    TOKENS.withdrawals,
    () => createWithdrawals({ store: adapters.store }),
  );
  registerSingleton(TOKENS.election, () =>
    createElection({
      ...adapters,
      entryId: settings.entryId,
      self: { entryId: settings.entryId, address: settings.listen.peers },
      seedPeers: settings.seedPeers,
      dataCentre: settings.dataCentre,
      connect: createEntryClient,
      probe: canConnect,
      onStoreResponse: () => scope.resolve(TOKENS.health).recordSuccess(),
      onStoreFailure: () => scope.resolve(TOKENS.health).recordFailure(),
      clock: scope.resolve(TOKENS.clock),
      log: loggers("owner"),
      random: Math.random,
      candidateDelayMs: resolveCandidateDelayMs(settings),
      lanes: resolveLaneCount(settings),
      config: scope.resolve(TOKENS.operator).config,
      waves: scope.resolve(TOKENS.operator).waves,
      keepEndedMs: settings.bounds.keepEndedS * 1_000,
      holderGapMs: settings.bounds.holderGapMs + HOLDER_GAP_MARGIN_MS,
      noticeMs: settings.bounds.noticeMs,
      rejectUnattainable: settings.overload.rejectUnattainable,
      memoryMb: settings.limits.memoryMb,
    }));
  registerSingleton(TOKENS.frontend, () =>
    createJobFrontend({
      store: adapters.store,
      withdrawals: scope.resolve(TOKENS.withdrawals),
      health: scope.resolve(TOKENS.health),
      clock: scope.resolve(TOKENS.clock),
      log: loggers("front"),
      config: scope.resolve(TOKENS.operator).config,
      rejectUnattainable: settings.overload.rejectUnattainable,
      ownerClient: () => scope.resolve(TOKENS.election).ownerClient(),
      onOwnerResponse: () => scope.resolve(TOKENS.stats).recordOwnerContact(),
      onOwnerUnresponsive: () => scope.resolve(TOKENS.election).suspectOwner(),
      onOwnerChanged: () => scope.resolve(TOKENS.election).discoverOwner(),
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
  const scope = container.createChildContainer();
  const adapters = registerDependencies(scope, settings, options.platform);
  const log = scope.resolve(TOKENS.log);
  const resolved = {
    operator: scope.resolve(TOKENS.operator),
    frontend: scope.resolve(TOKENS.frontend),
    stats: scope.resolve(TOKENS.stats),
    clock: scope.resolve(TOKENS.clock),
    budget: scope.resolve(TOKENS.budget),
  };
  return {
    ...resolved,
    settings,
    log: log.loggers("entry"),
    store: adapters.store,
    withdrawals: scope.resolve(TOKENS.withdrawals),
    health: scope.resolve(TOKENS.health),
    election: scope.resolve(TOKENS.election),
    supervisor: scope.resolve(TOKENS.supervisor),
    relayServer: createRelayServer({
      control: adapters.control,
      clock: scope.resolve(TOKENS.clock),
      log: log.loggers("relay"),
    }),
    signals: options.signals,
    createCallerListener: (isStopping) =>
      createJobListener({
        ...resolved,
        authenticator: createAuthenticator({
          strict: settings.bounds.strictRevocation,
          revocationMs: settings.bounds.revocationMs,
        }),
        protocols: [nativeJobProtocol, adapters.jobProtocol],
        isStopping,
      }),
    droppedLogLines: log.droppedLines,
    processLog: log,
  };
}
