import "reflect-metadata";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import { App } from "@tinyhttp/app";
import { ensure, type Operation, race, sleep, spawn, suspend } from "effection";
import { type Clock } from "../clock.ts";
import type { ConnectionBudget } from "../connections/connection_budget.ts";
import { readConnectionMetrics } from "../connections/connection_metrics.ts";
import { useErrorGuard } from "../error_guard.ts";
import {
  closeGracefully,
  limitConnections,
  type ListenOptions,
  useListeningServer,
} from "../http_server.ts";
import { messageOf, StoreError } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { formatPrometheus, type Metric } from "../metrics.ts";
import type { StopSignals } from "../signals.ts";
import type { Component, Supervisor } from "../supervisor.ts";
import type { Election } from "./election.ts";
import type { JobFrontend } from "./job_frontend.ts";
import { createJobServer } from "./job_server.ts";
import { storeAbsentRecord, storeJobRecord } from "./new_records.ts";
import type { OperatorState } from "./operator_state.ts";
import {
  createPeerHandler,
  type PeerHandlers,
  type StoreReply,
} from "./peer_router.ts";
import { STORE_KEYS } from "./ownership.ts";
import { rejectionMetrics } from "./overload/owner_rejection.ts";
import type { RecordStore } from "./ports.ts";
import type { RelayServer } from "./relay/server.ts";
import type { RequestStats } from "./request_stats.ts";
import type { Withdrawals } from "./withdrawals.ts";
import { workspaceMetrics } from "./workspaces/workspace_state.ts";
import type { SchedulerSettings } from "./settings.ts";
import type { StoreHealth } from "./store_health.ts";

/**
 * Time for which a stopping entry still accepts new requests, in ms. The load
 * balancer polls readiness once a second and removes an entry after two failures.
 */
const DRAIN_DELAY_MS = 2_800;
/** Maximum number of connections to the readiness server; the load balancer needs one at a time. */
const MAXIMUM_READINESS_CONNECTIONS = 32;
/** Part of the grace period that is reserved for closing connections, in ms. */
const CLOSE_MARGIN_MS = 900;
/** Time without contact to both store and owner after which an entry is not ready, in ms; about two long polls of a watch. */
const CONTACT_LIMIT_MS = 4_500;

/** Components of a scheduler process. */
export interface SchedulerEntryDependencies {
  readonly settings: SchedulerSettings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly store: RecordStore;
  readonly withdrawals: Withdrawals;
  readonly health: StoreHealth;
  readonly operator: OperatorState;
  readonly election: Election;
  readonly frontend: JobFrontend;
  readonly stats: RequestStats;
  readonly supervisor: Supervisor;
  readonly relayServer: RelayServer;
  /** Limits of the callers' connections. */
  readonly budget: ConnectionBudget;
  readonly signals: StopSignals;
  /** Creates the listener of the callers' port, which closes connections once `isStopping` returns true. */
  readonly createCallerListener: (isStopping: () => boolean) => RequestListener;
  /** Returns the number of log lines dropped so far. */
  readonly droppedLogLines: () => number;
}

/** Replies for a record that could not be stored. */
const STORE_REPLIES = {
  unavailable: "not_stored",
  rejected: "rejected",
  unknown_outcome: "unresolved",
} as const;

function parseHostAndPort(address: string): { host: string; port: number } {
  const [host, port] = address.split(":");
  return { host: host ?? "", port: Number(port) };
}

/** Creates the handlers of calls from other entries. */
export function createPeerHandlers(
  dependencies:
    & Pick<
      SchedulerEntryDependencies,
      "election" | "store" | "withdrawals" | "health" | "log"
    >
    & { readonly operator: Pick<OperatorState, "configItemAfter"> },
): PeerHandlers {
  const { election, store, withdrawals, health, log, operator } = dependencies;

  /** Stores a record of a job for another entry. */
  async function storeRecord(
    jobId: string,
    send: () => Promise<StoreReply>,
  ): Promise<StoreReply> {
    if (!health.allowsRequest()) return "not_stored";
    try {
      const reply = await send();
      health.recordSuccess();
      return reply;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      if (error.failure !== "rejected") health.recordFailure();
      log.info("a record of another entry could not be stored", {
        job: jobId,
        failure: error.failure,
        reason: messageOf(error),
      });
      return STORE_REPLIES[error.failure];
    }
  }

  return {
    admit(spec) {
      const owner = election.localOwner();
      if (owner === undefined) return { kind: "not_owner" };
      return { kind: "reply", value: owner.admit(spec) };
    },
    configAfter: (revision) => operator.configItemAfter(revision) ?? null,
    accepted(spec, revision) {
      const owner = election.localOwner();
      if (owner === undefined) return { kind: "not_owner" };
      return { kind: "reply", value: owner.accept(spec, revision) };
    },
    async submit(spec) {
      const owner = election.localOwner();
      if (owner === undefined) return { kind: "not_owner" };
      const value = await storeRecord(spec.jobId, async () => {
        const stored = await storeJobRecord(store, spec);
        if (stored.kind === "stored") owner.accept(spec, stored.revision);
        return stored.kind;
      });
      return { kind: "reply", value };
    },
    cancelled(jobId) {
      const owner = election.localOwner();
      if (owner === undefined) return { kind: "not_owner" };
      owner.cancel(jobId);
      return { kind: "reply", value: true };
    },
    async cancel(jobId) {
      const owner = election.localOwner();
      if (owner === undefined) return { kind: "not_owner" };
      const value = await storeRecord(
        jobId,
        () =>
          storeAbsentRecord(store, {
            key: STORE_KEYS.cancelPrefix + jobId,
            value: "{}",
          }),
      );
      if (value === "stored" || value === "existing") owner.cancel(jobId);
      return { kind: "reply", value };
    },
    async withdraw(withdrawal) {
      if (election.localOwner() === undefined) return { kind: "not_owner" };
      const value = await storeRecord(
        withdrawal.jobId,
        () => withdrawals.store(withdrawal),
      );
      return { kind: "reply", value };
    },
    status(jobId, workspace) {
      const owner = election.localOwner();
      if (owner === undefined) return { kind: "not_owner" };
      return { kind: "reply", value: owner.status(jobId, workspace) ?? null };
    },
    waitingJobs(queue) {
      const owner = election.localOwner();
      if (owner === undefined) return { kind: "not_owner" };
      return { kind: "reply", value: owner.waitingJobs(queue) };
    },
    owner: () => election.owner() ?? null,
    replaceOwner: (epoch) => election.replaceOwner(epoch),
    reaches: (address) => election.reaches(address),
    offerRelay: (offer) =>
      election.addRelay(offer)
        ? { kind: "reply", value: true }
        : { kind: "not_owner" },
    recordCaller: (ip) => election.recordCaller(ip),
  };
}

/** Runs a scheduler process until it receives a stop signal; returns the exit code. */
export function* runSchedulerEntry(
  dependencies: SchedulerEntryDependencies,
): Operation<number> {
  const {
    settings,
    clock,
    log,
    election,
    operator,
    relayServer,
    stats,
    supervisor,
  } = dependencies;
  let stopping = false;

  function unreadyReasons(): string[] {
    const reasons: string[] = [];
    if (stopping) reasons.push("stopping");
    if (operator.config() === undefined) reasons.push("no configuration");
    if (
      election.storeContact.elapsedMs() > CONTACT_LIMIT_MS &&
      stats.ownerContactAgeMs() > CONTACT_LIMIT_MS
    ) reasons.push("no contact with store and owner");
    return reasons;
  }

  function metrics(): Metric[] {
    return [
      ...stats.metrics(),
      ...ownerMetrics(election),
      ...readConnectionMetrics(dependencies.budget),
      {
        kind: "counter",
        name: "cowslipferry_log_lines_dropped_total",
        help: "Log lines dropped because their reader did not keep up",
        labels: {},
        value: dependencies.droppedLogLines(),
      },
    ];
  }

  const peerHandler = createPeerHandler(createPeerHandlers(dependencies));
  const admin = new App({ settings: { xPoweredBy: false } });
  admin.get("/metrics", (_request, response) => {
    response.setHeader("content-type", "text/plain; version=0.0.4");
    response.end(formatPrometheus(metrics()));
  });
  admin.get("/dump", (_request, response) => {
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({
      entryId: settings.entryId,
      unreadyReasons: unreadyReasons(),
      owner: election.owner(),
      configVersion: operator.config()?.version,
      storeContactAgeMs: Math.round(election.storeContact.elapsedMs()),
      parts: supervisor.status(),
      tenure: election.localOwner()?.describeState(),
    }));
  });
  function onPeerRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (request.url === "/metrics" || request.url === "/dump") {
      admin.handler(request as never, response as never);
    } else peerHandler(request, response);
  }

  function onReadiness(_: IncomingMessage, response: ServerResponse): void {
    response.statusCode = unreadyReasons().length === 0 ? 200 : 503;
    response.end();
  }

  const callerServer = createJobServer({
    ...dependencies,
    listener: dependencies.createCallerListener(() => stopping),
  });

  function serve(name: string, server: Server, address: string): Component {
    return {
      name,
      *run() {
        yield* useListeningServer(server, parseHostAndPort(address));
        log.info("listening", { part: name, address });
        yield* suspend();
      },
    };
  }

  yield* useErrorGuard((error) => {
    log.error("unexpected error", {
      reason: messageOf(error),
      stack: error instanceof Error ? error.stack : undefined,
    });
    // The owner's state may be inconsistent now; the next owner restores it from the store and the workers.
    election.handOver("an unexpected error");
  });
  log.info("starting", {
    dataCentre: settings.dataCentre,
    region: settings.region,
  });
  const { listen } = settings;
  const connectionLimits = dependencies.budget.limits;
  yield* supervisor.start({ name: "operator", run: () => operator.run() });
  yield* supervisor.start({ name: "election", run: () => election.run() });
  const peerServer = limitConnections(
    createInternalServer(onPeerRequest),
    connectionLimits.maximumPeerConnections,
  );
  peerServer.on("upgrade", relayServer.onUpgrade);
  yield* ensure(() => relayServer.close());
  yield* supervisor.start(serve("peers", peerServer, listen.peers));
  yield* supervisor.start(
    serve(
      "readiness",
      limitConnections(
        createInternalServer(onReadiness),
        MAXIMUM_READINESS_CONNECTIONS,
      ),
      listen.readiness,
    ),
  );
  yield* spawn(() =>
    serveUntilHalted(callerServer, {
      ...parseHostAndPort(listen.callers),
      maximumUnaccepted: connectionLimits.maximumUnaccepted,
    })
  );

  yield* dependencies.signals.next();
  stopping = true;
  const graceMs = settings.bounds.graceS * 1_000;
  log.info("stopping", { graceMs });
  const startedAtMs = clock.monotonicMs();
  election.stop();
  relayServer.stop();
  yield* race([sleep(DRAIN_DELAY_MS), dependencies.signals.next()]);
  const usedMs = clock.monotonicMs() - startedAtMs;
  yield* closeGracefully(
    callerServer,
    Math.max(100, graceMs - usedMs - CLOSE_MARGIN_MS),
  );
  log.info("stopped", {
    afterMs: Math.round(clock.monotonicMs() - startedAtMs),
  });
  return 0;
}

/** Creates a server that closes connections soon after they exceed their timeouts. */
function createInternalServer(listener: RequestListener): Server {
  return createServer({ connectionsCheckingInterval: 1_000 }, listener);
}

function* serveUntilHalted(
  server: Server,
  options: ListenOptions,
): Operation<void> {
  yield* useListeningServer(server, options);
  yield* suspend();
}

function ownerMetrics(election: Election): Metric[] {
  const owner = election.localOwner();
  if (owner === undefined) return [];
  const { counters, jobs, workers } = owner.scheduler;
  const counter = (
    name: string,
    help: string,
    value: number,
    labels: Record<string, string> = {},
  ): Metric => ({ kind: "counter", name, help, labels, value });
  return [
    counter(
      "cowslipferry_task_starts_total",
      "Confirmed starts of tasks",
      counters.starts,
    ),
    counter(
      "cowslipferry_runs_lost_total",
      "Runs that ended with their worker or without a trace",
      counters.lostRuns,
    ),
    counter(
      "cowslipferry_runs_outlived_total",
      "Runs that went on although they had been taken as over",
      counters.outlivedRuns,
    ),
    counter(
      "cowslipferry_task_relocations_total",
      "Tasks taken from slow workers",
      counters.relocations,
    ),
    counter(
      "cowslipferry_disruption_budget_refusals_total",
      "Orders that a disruption budget didn't allow",
      counters.budgetRefusals,
    ),
    ...Object.entries(counters.ends).map(([ending, value]) =>
      counter("cowslipferry_run_ends_total", "Listed ends of runs", value, {
        ending,
      })
    ),
    {
      kind: "gauge",
      name: "cowslipferry_active_jobs",
      help: "Jobs that have not ended",
      labels: {},
      value:
        [...jobs.values()].filter(({ status }) => status === "active").length,
    },
    {
      kind: "gauge",
      name: "cowslipferry_workers",
      help: "Workers that the owner deals with",
      labels: {},
      value: workers.instances.size,
    },
    ...workspaceMetrics(owner.workspaces()),
    ...rejectionMetrics(owner.overloadCounts ?? new Map()),
  ];
}
