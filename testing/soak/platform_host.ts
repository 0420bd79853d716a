import { StoreError } from "../../src/errors.ts";
import type {
  OrderOutcome,
  RecordStore,
  StoredItem,
  WorkerControl,
  WorkerReport,
} from "../../src/scheduler/ports.ts";
import type { FakeRecordStore } from "../fake_record_store.ts";
import type { FakeTaskWorkers } from "../fake_task_workers.ts";
import {
  createJsonServer,
  type JsonCall,
  type JsonReply,
  listenOnLoopback,
  type RunningServer,
} from "../http_json_server.ts";
import type { FakeFleet } from "./fake_fleet.ts";

/** Body fields of the platform's requests; each call uses a subset. */
interface RequestFields {
  readonly precondition?: { key: string; revision: number }[];
  readonly puts?: { key: string; value: string; lease?: number }[];
  readonly deletes?: string[];
  readonly "ttl-ms"?: number;
  readonly task?: string;
  readonly run?: number;
  readonly specification?: string;
  readonly "deadline-ms"?: number;
  readonly "fencing-token"?: number;
  readonly checkpoint?: string;
  readonly acknowledged?: number;
  readonly "wait-ms"?: number;
  readonly machine?: string;
  readonly pool?: string;
  readonly wave?: number;
}

function encodeItem(item: StoredItem) {
  return { ...item, value: Buffer.from(item.value).toString("base64") };
}

async function handleStoreCall(
  store: RecordStore,
  { method, url, body }: JsonCall,
): Promise<JsonReply> {
  const call = url.pathname.slice("/api/".length);
  const query = url.searchParams;
  const requestFields = (body ?? {}) as RequestFields;
  const [name, id] = call.split("/");
  switch (name) {
    case "kv-key": {
      const item = await store.get(query.get("key") ?? "");
      return item === undefined
        ? { status: 404 }
        : { status: 200, body: encodeItem(item) };
    }
    case "kv-range": {
      const { items, revision } = await store.list(query.get("prefix") ?? "");
      return {
        status: 200,
        body: {
          items: items.map(encodeItem),
          "has-more": false,
          at: revision,
        },
      };
    }
    case "kv-watch": {
      const watched = await store.watch(query.get("prefix") ?? "", {
        afterRevision: Number(query.get("after")),
        waitMs: Number(query.get("wait-ms")),
      });
      if (watched.kind === "compacted") return { status: 410 };
      return {
        status: 200,
        body: {
          at: watched.revision,
          events: watched.events.map((event) =>
            event.kind === "put"
              ? encodeItem(event.item)
              : { key: event.key, deleted: true }
          ),
        },
      };
    }
    case "kv-txn": {
      const outcome = await store.change({
        conditions: requestFields.precondition ?? [],
        puts: (requestFields.puts ?? []).map(({ key, value, lease }) => ({
          key,
          value: Buffer.from(value, "base64").toString("utf8"),
          ...(lease === undefined ? {} : { leaseId: lease }),
        })),
        deletes: requestFields.deletes ?? [],
      });
      switch (outcome.kind) {
        case "committed":
          return { status: 200, body: { revision: outcome.revision } };
        case "conflict":
          return {
            status: 412,
            body: { items: outcome.items.map(encodeItem) },
          };
        case "lease_ended":
          return { status: 404 };
      }
      break;
    }
    case "kv-lease": {
      const lease = await store.grantLease(requestFields["ttl-ms"] ?? 1_000);
      return {
        status: 200,
        body: { lease: lease.leaseId, "ttl-ms": lease.ttlMs },
      };
    }
    case "kv-keep":
      return { status: await store.renewLease(Number(id)) ? 200 : 404 };
    case "kv-lease-end":
      await store.endLease(Number(id));
      return { status: 200 };
  }
  return { status: method === "GET" ? 404 : 400 };
}

/** Reason codes of refusals in the wire format. */
const REFUSAL_REASONS = {
  fenced: "fence",
  superseded: "old",
  expired: "late",
  no_room: "room",
  ticket: "ticket",
} as const;

function encodeOutcome<T>(
  outcome: OrderOutcome<T>,
  encode: (done: { kind: "done" } & T) => unknown,
): JsonReply | undefined {
  switch (outcome.kind) {
    case "done":
      return { status: 200, body: encode(outcome) };
    case "refused":
      switch (outcome.reason) {
        case "unhealthy":
          return { status: 503 };
        case "invalid":
          return { status: 400 };
        default:
          return {
            status: 409,
            body: { reason: REFUSAL_REASONS[outcome.reason] },
          };
      }
    case "other_life":
      return { status: 421 };
    case "not_sent":
    case "unknown":
      return undefined;
  }
}

function encodeReport(report: WorkerReport, hasUnreadableRun: boolean) {
  return {
    "clock-ms": report.clockMs,
    born: report.bornAtMs,
    running: report.running.map((row, index) =>
      hasUnreadableRun && index === 0 ? null : [
        row.taskId,
        row.run,
        row.checkpoint,
        Math.floor(row.percent),
        row.loadMetric,
      ]
    ),
    finished: report.ended.map((row) => [
      row.number,
      row.taskId,
      row.run,
      row.ending,
      row.checkpoint,
    ]),
  };
}

async function handleWorkerCall(
  control: WorkerControl,
  { workerId, hasUnreadableRun }: {
    readonly workerId: string;
    readonly hasUnreadableRun: boolean;
  },
  { url, body }: JsonCall,
): Promise<JsonReply | undefined> {
  const requestFields = body as RequestFields;
  const worker = { workerId, address: "", dataCentre: "" };
  const fencingToken = requestFields["fencing-token"] ?? 0;
  const order = {
    taskId: requestFields.task ?? "",
    run: requestFields.run ?? 0,
    fence: fencingToken,
  };
  const clock = ({ clockMs }: { clockMs: number }) => ({ "clock-ms": clockMs });
  switch (url.pathname) {
    case "/api/run-start":
      return encodeOutcome(
        await control.start(worker, {
          ...order,
          specification: requestFields.specification ?? "",
          leaseEndMs: requestFields["deadline-ms"] ?? 0,
          checkpoint: requestFields.checkpoint ?? "",
          ticket: undefined,
        }),
        clock,
      );
    case "/api/run-stop":
      return encodeOutcome(await control.stop(worker, order), clock);
    case "/api/pace":
      return { status: 200, body: { "clock-ms": 0 } };
    case "/api/hold":
      return encodeOutcome(
        await control.renewAndPoll(worker, {
          fence: fencingToken,
          acknowledged: requestFields.acknowledged ?? 0,
          leaseEndMs: requestFields["deadline-ms"],
          waitMs: requestFields["wait-ms"] ?? 0,
        }),
        (report) => encodeReport(report, hasUnreadableRun),
      );
    default:
      return { status: 404 };
  }
}

/** Starts a store server for one entry, so that the store can refuse that entry alone. */
export function startStoreServer(
  store: FakeRecordStore,
  entryId: string,
): Promise<RunningServer> {
  const client = store.client(entryId);
  return listenOnLoopback(createJsonServer(async (call) => {
    try {
      return await handleStoreCall(client, call);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      // Returning nothing simulates a lost response.
      return error.failure === "unknown_outcome"
        ? undefined
        : { status: error.failure === "rejected" ? 400 : 503 };
    }
  }));
}

/** Starts a server for all workers; a request header names the worker. */
export function startWorkerServer(
  workers: FakeTaskWorkers,
): Promise<RunningServer> {
  const control = workers.client(() => true);
  return listenOnLoopback(createJsonServer((call) => {
    const workerId = String(call.headers["cowslipferry-expected-instance"]);
    const worker = workers.workers.get(workerId);
    if (worker === undefined) return { status: 421 };
    const hasUnreadableRun = workers.faults.unreadable.has(workerId);
    return handleWorkerCall(control, { workerId, hasUnreadableRun }, call);
  }));
}

/** Starts a server for the VM API. */
export function startVmServer(fleet: FakeFleet): Promise<RunningServer> {
  return listenOnLoopback(createJsonServer((call) => {
    const requestFields = (call.body ?? {}) as RequestFields;
    const fencingToken = Number(call.headers["cowslipferry-fencing-token"]);
    const encode = (result: ReturnType<FakeFleet["move"]>): JsonReply =>
      result === "done"
        ? { status: 200 }
        : { status: 409, body: { reason: result } };
    switch (call.url.pathname) {
      case "/api/machines":
        return { status: 200, body: { machines: fleet.listVms() } };
      case "/api/machine-move":
        return encode(
          fleet.move(
            requestFields.machine ?? "",
            requestFields.pool ?? "",
            fencingToken,
          ),
        );
      case "/api/machine-upkeep":
        return encode(
          fleet.maintain(
            requestFields.machine ?? "",
            requestFields.wave ?? 0,
            fencingToken,
          ),
        );
      default:
        return { status: 404 };
    }
  }));
}
