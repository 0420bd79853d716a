import {
  type BackendBehaviour,
  type BackendServer,
  type BackendServerOptions,
  startBackendServer,
} from "./backend_server.ts";
import { createJsonServer, listenOnLoopback } from "./http_json_server.ts";
import {
  type AgentBehaviour,
  createFakeAgent,
  type FakeAgent,
} from "./worker_agent.ts";

/** Options for `startWorker`. */
export interface WorkerOptions {
  readonly id: string;
  /** "1" by default; another value represents a VM that replaced the first one. */
  readonly incarnation?: string;
  readonly backend?: BackendServerOptions;
  readonly agent?: Partial<AgentBehaviour>;
  /** Whether the agent shares the backend server's port or listens on a separate one, the default. */
  readonly agentPort?: "same" | "own";
}

/** A fake worker VM with one backend server and one agent. */
export interface Worker {
  readonly id: string;
  /** `host:port` of the backend server. */
  readonly address: string;
  /** `host:port` of the agent. */
  readonly controlAddress: string;
  readonly backend: BackendServer;
  readonly agent: FakeAgent;
  /** Changes the behaviour of the backend server and the agent. */
  configure(change: WorkerChange): void;
  close(): Promise<void>;
}

/** A change of a worker's behaviour. */
export interface WorkerChange {
  readonly backend?: Partial<BackendBehaviour>;
  readonly agent?: Partial<AgentBehaviour>;
}

/** Starts a fake worker. */
export async function startWorker(options: WorkerOptions): Promise<Worker> {
  const { id, agentPort = "own" } = options;
  let started: BackendServer | undefined;
  const getBackend = (): BackendServer => {
    if (started === undefined) throw new Error(`${id} has not started`);
    return started;
  };
  const agent = createFakeAgent({
    vmId: id,
    incarnation: options.incarnation ?? "1",
    backend: getBackend,
    ...(options.agent ? { behaviour: options.agent } : {}),
  });
  const agentServer = createJsonServer(agent.handle);
  const backend = started = await startBackendServer(id, {
    ...options.backend,
    ...(agentPort === "same"
      ? { agent: (...call) => agentServer.emit("request", ...call) }
      : {}),
  });
  const control = agentPort === "own"
    ? await listenOnLoopback(agentServer)
    : undefined;
  return {
    id,
    address: backend.address,
    controlAddress: control?.address ?? backend.address,
    backend,
    agent,
    configure(change) {
      Object.assign(backend.behaviour, change.backend);
      Object.assign(agent.behaviour, change.agent);
    },
    async close() {
      await Promise.all([backend.close(), control?.close()]);
    },
  };
}
