import {
  createJsonServer,
  type JsonCall,
  type JsonReply,
  listenOnLoopback,
} from "./http_json_server.ts";
import {
  startWorker,
  type Worker,
  type WorkerChange,
  type WorkerOptions,
} from "./worker.ts";
import type { JournalEntry, RequestArrival } from "./backend_server.ts";

/** Requests and reboots that a fake worker has recorded. */
export interface WorkerJournal {
  readonly runs: readonly JournalEntry[];
  readonly arrivals: readonly RequestArrival[];
  /** Intent ids of the reboots that the agent started. */
  readonly reboots: readonly string[];
}

/** A handle of a fake worker in this process or another one. */
export interface WorkerHandle {
  readonly id: string;
  readonly address: string;
  readonly controlAddress: string;
  journal(): Promise<WorkerJournal>;
  configure(change: WorkerChange): Promise<void>;
  /** Stops the backend server immediately, aborting requests in flight. */
  crash(): Promise<void>;
  /** Starts a crashed backend server again on the same port. */
  restart(): Promise<void>;
}

/** Creates a handle of a worker in this process. */
export function createHandle(worker: Worker): WorkerHandle {
  const { id, address, controlAddress, backend, agent } = worker;
  return {
    id,
    address,
    controlAddress,
    journal: () =>
      Promise.resolve({
        runs: backend.journal,
        arrivals: backend.arrivals,
        reboots: agent.journal.reboots,
      }),
    configure: (change) => Promise.resolve(worker.configure(change)),
    crash: () => backend.crash(),
    restart: () => backend.restart(),
  };
}

/** Addresses of a worker process, which it prints as JSON on its first line of output. */
export interface WorkerHostInfo {
  /** Base URL of the server through which tests control the workers. */
  readonly controlUrl: string;
  readonly workers: readonly {
    readonly id: string;
    readonly address: string;
    readonly controlAddress: string;
  }[];
}

/** Starts workers in this process and the server through which tests control them. */
export async function startWorkerHost(
  specs: readonly WorkerOptions[],
): Promise<WorkerHostInfo> {
  const workers = new Map<string, Worker>();
  for (const spec of specs) workers.set(spec.id, await startWorker(spec));

  async function handleCall(call: JsonCall): Promise<JsonReply> {
    const [, id, action] = call.url.pathname.split("/");
    const worker = workers.get(decodeURIComponent(id ?? ""));
    if (worker === undefined) return { status: 404, body: {} };
    const handle = createHandle(worker);
    switch (action) {
      case "journal":
        return { status: 200, body: await handle.journal() };
      case "configure":
        await handle.configure(call.body as WorkerChange);
        return { status: 200, body: {} };
      case "crash":
        await handle.crash();
        return { status: 200, body: {} };
      case "restart":
        await handle.restart();
        return { status: 200, body: {} };
      default:
        return { status: 404, body: {} };
    }
  }

  const control = await listenOnLoopback(createJsonServer(handleCall));
  return {
    controlUrl: `http://${control.address}`,
    workers: [...workers.values()].map(({ id, address, controlAddress }) => ({
      id,
      address,
      controlAddress,
    })),
  };
}

/** Creates handles of the workers in another process. */
export function createRemoteHandles(info: WorkerHostInfo): WorkerHandle[] {
  async function call(id: string, action: string, body?: unknown) {
    const response = await fetch(
      `${info.controlUrl}/${encodeURIComponent(id)}/${action}`,
      { method: "POST", body: body ? JSON.stringify(body) : null },
    );
    if (!response.ok) {
      throw new Error(`${action} of ${id} failed: ${response.status}`);
    }
    return await response.json();
  }
  return info.workers.map((worker) => ({
    ...worker,
    journal: async () => await call(worker.id, "journal") as WorkerJournal,
    configure: (change) => call(worker.id, "configure", change).then(() => {}),
    crash: () => call(worker.id, "crash").then(() => {}),
    restart: () => call(worker.id, "restart").then(() => {}),
  }));
}
