import type { Server } from "node:http";
import { createScope, type Operation } from "effection";
import type { Clock } from "../clock.ts";
import type { AppliedConfig, ServiceConfig } from "../config/schema.ts";
import type { ContactTracker } from "../contact_tracker.ts";
import type { FleetRecord } from "../fleet/record.ts";
import type { Logger } from "../logger.ts";
import type { MetricSummary } from "../metrics.ts";
import type { Observable } from "../observable.ts";
import type { EntryDigest, ServiceLoad } from "../peers/messages.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";
import type { ResolvedSettings } from "../settings/schema.ts";
import { createNotifier } from "../notifier.ts";
import { AdmissionQueues } from "./admission.ts";
import type { CallerRequest } from "./caller_request.ts";
import { ConnectionBudget } from "../connections/connection_budget.ts";
import { resolveConnectionLimits } from "../connections/connection_limits.ts";
import { createCallerServer } from "./caller_server.ts";
import { KeyedRequests } from "./keyed_requests.ts";
import { NotRunError, type Outcome } from "./outcome.ts";
import { RefusalLog } from "./refusal_log.ts";
import { RequestMetrics } from "./request_metrics.ts";
import { Router } from "./router.ts";
import { RequestRunner } from "./request_runner.ts";
import {
  RequestHandler,
  type RequestHandlerOptions,
} from "./request_handler.ts";
import { addRetryJitter } from "./shedding.ts";

/** Dependencies and settings of the request proxy. */
export interface RequestProxyOptions {
  readonly settings: ResolvedSettings;
  /** Id of this run of the process. */
  readonly incarnation: string;
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  /** Digests of all live entries of the region, including this one. */
  readonly entries: Observable<readonly EntryDigest[]>;
  readonly contacts: ContactTracker;
  /** Jobs API, if this entry runs jobs. */
  readonly systemApi?: RequestHandlerOptions["systemApi"];
  /** Called when the first request arrives after `isIdle` returned true. */
  readonly onActive?: () => void;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Load of this entry, as sent to its peers. */
export interface LoadReport {
  readonly services: Record<string, ServiceLoad>;
  /** Number of requests in flight by id of each VM that accepts no new requests. */
  readonly drainingInFlight: Record<string, number>;
  /** Ids of the VMs that announced to this entry that they are leaving. */
  readonly leavingVms: string[];
}

/** Reverse proxy between the callers of one entry and the backend servers. */
export interface RequestProxy {
  /** The callers' HTTP server. */
  readonly server: Server;
  load(): LoadReport;
  /** Returns whether no request has arrived recently and none is queued or in flight. */
  isIdle(): boolean;
  /** Returns the state for the dump: queues, slot shares, ejections, recent refusals with their reasons. */
  dump(): unknown;
  /** Returns request duration summaries by service and outcome. */
  metrics(): MetricSummary[];
  /** Limits of the callers' connections. */
  readonly budget: ConnectionBudget;
  /** Refuses new requests from now on; resolves once no request is in flight. */
  drain(): Promise<void>;
  /** Returns the number of requests queued or in flight. */
  inFlight(): number;
}

/** Interval of the deadline checks while requests are queued, in ms. */
const QUEUE_CHECK_INTERVAL_MS = 25;
/** Interval at which ejections are updated and expired keys removed, in ms. */
const HOUSEKEEPING_INTERVAL_MS = 250;
/** Interval of the housekeeping while the entry is idle, in ms; longer, because the health of instances doesn't change then. */
const IDLE_HOUSEKEEPING_INTERVAL_MS = 1_000;
/** Time for which changes of peers' digests are batched before an update, in ms. */
const DIGEST_BATCH_MS = 20;
/** Suggested retry delay while this entry is draining, in ms; another entry has taken over its callers by then. */
const DRAINING_RETRY_MS = 50;
/** Suggested retry delay while this entry is isolated, in ms. */
const ISOLATED_RETRY_MS = 1_000;

/** Creates the request proxy without starting to listen. Closing its server ends its tasks. */
export function createRequestProxy(options: RequestProxyOptions): RequestProxy {
  const { settings, incarnation, clock, log } = options;
  const [scope, destroyScope] = createScope();
  const refusals = new RefusalLog();
  const metrics = new RequestMetrics();
  const queueNotifier = createNotifier();
  let services = new Map<string, ServiceConfig>();

  const admission = new AdmissionQueues({
    router: () => router,
    maximumQueued: settings.limits.maximumQueuedRequests,
    clock,
    random: Math.random,
    onQueued: () => queueNotifier.notify(),
    onActive() {
      queueNotifier.notify();
      options.onActive?.();
    },
  });
  const router = new Router({
    entryId: settings.entryId,
    region: settings.region,
    config: options.config,
    fleet: options.fleet,
    vmList: options.vmList,
    entries: options.entries,
    ownLoad: () => admission.load([...services.values()]),
    hasQueuedRequests: (service) => admission.hasQueuedRequests(service),
    clock,
    log,
  });
  const runner = new RequestRunner({
    router,
    admission,
    clock,
    onRefusal: (request, error, details) =>
      refusals.add({
        atMs: clock.wallMs(),
        requestId: request.requestId,
        service: request.service,
        reason: error.kind,
        details,
      }),
  });
  const keyed = new KeyedRequests({
    memoryMb: settings.limits.memoryMb,
    entryId: settings.entryId,
    incarnation,
    entries: options.entries,
    clock,
    scope,
    findRefusal: (): Outcome | undefined => {
      try {
        checkAcceptingWork();
        return undefined;
      } catch (error) {
        if (error instanceof NotRunError) return { kind: "not_run", error };
        throw error;
      }
    },
    run: (request, service) => runner.run(request, service),
  });
  const budget = new ConnectionBudget(
    resolveConnectionLimits(settings.limits),
  );
  const handler = new RequestHandler({
    limits: settings.limits,
    budget,
    idPrefix: `${settings.entryId}-${incarnation.slice(0, 8)}`,
    findService: (name) =>
      services.get(name) ??
        (options.config.get() === undefined
          ? "not_configured"
          : "unknown_service"),
    checkAcceptingWork,
    handle: (request: CallerRequest, service: ServiceConfig) =>
      request.key === undefined
        ? runner.run(request, service)
        : keyed.handle(request, service),
    issueKey: () => keyed.issue(),
    systemApi: options.systemApi,
    refusals,
    metrics,
    clock,
    log,
  });
  const server = createCallerServer({
    limits: settings.limits,
    budget,
    handler,
    scope,
    clock,
    log,
  });

  function checkAcceptingWork(): void {
    if (handler.draining) {
      throw new NotRunError(
        "draining",
        "The entry is shutting down",
        addRetryJitter(DRAINING_RETRY_MS, Math.random()),
      );
    }
    if (options.contacts.isIsolated()) {
      throw new NotRunError(
        "isolated",
        "The entry is cut off from the platform and its peers",
        addRetryJitter(ISOLATED_RETRY_MS, Math.random()),
      );
    }
  }

  function update(): void {
    const config = options.config.get()?.config;
    services = new Map(
      config?.services.map((service) => [service.name, service]) ?? [],
    );
    router.update();
    admission.dispatchWaiting();
  }

  let digestTimer: NodeJS.Timeout | undefined;
  function scheduleUpdate(): void {
    digestTimer ??= setTimeout(() => {
      digestTimer = undefined;
      update();
    }, DIGEST_BATCH_MS);
  }

  function* runHousekeeping(): Operation<void> {
    let nextHousekeepingAtMs = 0;
    while (true) {
      const intervalMs = admission.isIdle()
        ? IDLE_HOUSEKEEPING_INTERVAL_MS
        : HOUSEKEEPING_INTERVAL_MS;
      yield* queueNotifier.wait(
        admission.queued > 0 ? QUEUE_CHECK_INTERVAL_MS : intervalMs,
      );
      admission.refuseUnreachableDeadlines();
      const nowMs = clock.monotonicMs();
      if (nowMs < nextHousekeepingAtMs) continue;
      nextHousekeepingAtMs = nowMs + HOUSEKEEPING_INTERVAL_MS;
      router.updateEjections();
      keyed.removeExpired();
    }
  }

  // Skips the update after the many polls that return an unchanged VM list.
  let lastVms = options.vmList.get()?.vms;
  function onVmList(snapshot: VmListSnapshot | undefined): void {
    if (snapshot?.vms === lastVms) return;
    lastVms = snapshot?.vms;
    update();
  }

  const unsubscribe = [
    options.config.subscribe(update),
    options.fleet.subscribe(update),
    options.vmList.subscribe(onVmList),
    options.entries.subscribe(scheduleUpdate),
  ];
  update();
  server.once("listening", () => {
    scope.run(runHousekeeping).catch(() => {});
  });
  server.once("close", () => {
    for (const end of unsubscribe) end();
    clearTimeout(digestTimer);
    router.close();
    keyed.close();
    destroyScope().catch(() => {});
  });

  return {
    server,
    load: () => ({
      services: admission.load([...services.values()]),
      drainingInFlight: router.drainingInFlight(),
      leavingVms: router.leavingVms(),
    }),
    isIdle: () => admission.isIdle(),
    dump: () => ({
      active: handler.active,
      draining: handler.draining,
      isolated: options.contacts.isIsolated(),
      queues: admission.describe(),
      routing: router.describe(),
      retryBudgets: runner.describe(),
      keys: keyed.describe(),
      recentRefusals: refusals.list(),
    }),
    metrics: () => metrics.list(),
    budget,
    async drain() {
      handler.draining = true;
      await handler.whenIdle();
      await keyed.whenIdle();
    },
    inFlight: () => handler.active + keyed.running,
  };
}
