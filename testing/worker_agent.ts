import { setTimeout as delay } from "node:timers/promises";
import type {
  TaskSpec,
  TaskStatus,
  WorkerReport,
} from "../src/ports/worker_agent.ts";
import type { BackendServer } from "./backend_server.ts";
import type { JsonCall, JsonReply } from "./http_json_server.ts";
import { waitFor } from "./wait.ts";

/** Behaviour of a fake agent; tests may change it while the agent runs. */
export interface AgentBehaviour {
  /** Age of the state that reports show, in ms. */
  reportLagMs: number;
  /** Downtime of the VM during a reboot, in ms. */
  rebootMs: number;
  /** Leaves every call without a response. */
  down: boolean;
  /** Makes each task fail right after its start. */
  failTasks: boolean;
  /** Maximum wait for requests in flight before a reboot, in ms. */
  graceMs: number;
}

/** Actions of an agent, recorded for tests. */
export interface AgentJournal {
  /** Intent ids of started reboots. */
  readonly reboots: string[];
  /** Intent ids of drains. */
  readonly drains: string[];
  /** Started tasks; a resumed checkpoint counts as a start. */
  readonly taskRuns: { taskId: string; fencingToken: number }[];
}

/** A fake worker agent. */
export interface FakeAgent {
  readonly behaviour: AgentBehaviour;
  readonly journal: AgentJournal;
  /** Handles a call of the agent protocol; undefined leaves it without a response. */
  handle(call: JsonCall): Promise<JsonReply | undefined>;
}

/** A task that is running or has ended; times are wall-clock. */
interface AgentTask {
  spec: TaskSpec;
  state: TaskStatus["state"];
  cores: number;
  leaseEndMs: number;
  endMs: number;
  timer?: NodeJS.Timeout;
}

/** Run time of a task whose command contains no valid one, in ms. */
const DEFAULT_TASK_MS = 60_000;
/** Maximum number of past reports, from which lagging reports are served. */
const MAXIMUM_REPORTS = 500;

/** Parses a command such as `run 500` or `fail 20`, whose number is the run time in ms. */
function parseCommand(command: string): { fails: boolean; timeMs: number } {
  const [verb, time] = command.split(" ");
  const timeMs = Number(time ?? DEFAULT_TASK_MS);
  return {
    fails: verb === "fail",
    timeMs: Number.isFinite(timeMs) ? timeMs : DEFAULT_TASK_MS,
  };
}

/** Creates the task table of one agent. */
function createTasks(behaviour: AgentBehaviour, journal: AgentJournal) {
  const tasks = new Map<string, AgentTask>();
  let highestFencingToken = 0;

  function end(task: AgentTask, state: TaskStatus["state"]): void {
    if (task.state !== "running") return;
    clearTimeout(task.timer);
    task.state = state;
  }

  /** Schedules the end of a task at the end of its run time or lease, whichever is earlier. */
  function scheduleEnd(task: AgentTask): void {
    clearTimeout(task.timer);
    const nextMs = Math.min(task.endMs, task.leaseEndMs) - Date.now();
    task.timer = setTimeout(() => {
      const { fails } = parseCommand(task.spec.command);
      // The worker stops a task whose lease expires before the task ends.
      if (task.leaseEndMs < task.endMs) end(task, "stopped");
      else end(task, fails ? "failed" : "succeeded");
    }, Math.max(0, nextMs));
    task.timer.unref();
  }

  function run(spec: TaskSpec): JsonReply {
    if (spec.fencingToken < highestFencingToken) {
      return { status: 409, body: { fencingToken: highestFencingToken } };
    }
    highestFencingToken = spec.fencingToken;
    const existing = tasks.get(spec.taskId);
    if (spec.mustExist && existing === undefined) {
      return { status: 404, body: {} };
    }
    if (existing?.state === "running") {
      existing.leaseEndMs = Date.now() + spec.leaseMs;
      scheduleEnd(existing);
      return { status: 200, body: {} };
    }
    if (existing !== undefined && existing.state !== "checkpointed") {
      return { status: 200, body: {} };
    }
    const nowMs = Date.now();
    const { timeMs } = parseCommand(spec.command);
    const task: AgentTask = {
      spec,
      state: "running",
      cores: spec.cores,
      leaseEndMs: nowMs + spec.leaseMs,
      endMs: nowMs + timeMs,
    };
    tasks.set(spec.taskId, task);
    journal.taskRuns.push({
      taskId: spec.taskId,
      fencingToken: spec.fencingToken,
    });
    if (behaviour.failTasks) end(task, "failed");
    else scheduleEnd(task);
    return { status: 200, body: {} };
  }

  return {
    run,
    end(taskId: string, state: TaskStatus["state"]): JsonReply {
      const task = tasks.get(taskId);
      if (task === undefined) return { status: 404, body: {} };
      end(task, state);
      return { status: 200, body: {} };
    },
    throttle(taskId: string, cores: number): JsonReply {
      const task = tasks.get(taskId);
      if (task === undefined) return { status: 404, body: {} };
      task.cores = cores;
      return { status: 200, body: {} };
    },
    stopAll(): void {
      for (const task of tasks.values()) end(task, "stopped");
    },
    statuses: (): TaskStatus[] =>
      [...tasks.values()].map((task) => ({
        taskId: task.spec.taskId,
        state: task.state,
        usedCores: task.state === "running" ? task.cores : 0,
        usedMemoryMb: task.state === "running" ? task.spec.memoryMb : 0,
      })),
  };
}

/** Creates a fake agent that drains and reboots a worker's backend server. */
export function createFakeAgent(options: {
  vmId: string;
  incarnation: string;
  backend: () => BackendServer;
  behaviour?: Partial<AgentBehaviour>;
}): FakeAgent {
  const { vmId, incarnation } = options;
  const behaviour: AgentBehaviour = {
    reportLagMs: 0,
    rebootMs: 100,
    down: false,
    failTasks: false,
    graceMs: 30_000,
    ...options.behaviour,
  };
  const journal: AgentJournal = { reboots: [], drains: [], taskRuns: [] };
  const tasks = createTasks(behaviour, journal);
  const reports: { atMs: number; report: WorkerReport }[] = [];
  let lastRebootIntentId: string | undefined;
  let rebooting = false;

  function report(): WorkerReport {
    const nowMs = Date.now();
    const current: WorkerReport = {
      vmId,
      incarnation,
      lastRebootIntentId,
      tasks: tasks.statuses(),
    };
    reports.push({ atMs: nowMs, report: current });
    if (reports.length > MAXIMUM_REPORTS) reports.shift();
    const visibleAtMs = nowMs - behaviour.reportLagMs;
    return (reports.findLast((item) => item.atMs <= visibleAtMs) ?? reports[0])
      ?.report ?? current;
  }

  async function reboot(intentId: string): Promise<void> {
    const backend = options.backend();
    rebooting = true;
    backend.behaviour.leaving = true;
    try {
      await waitFor(
        `${vmId} has no request in flight`,
        () => backend.inFlight() === 0,
        { timeoutMs: behaviour.graceMs },
      ).catch(() => {});
      await backend.crash();
      tasks.stopAll();
      await delay(behaviour.rebootMs);
      backend.behaviour.leaving = false;
      lastRebootIntentId = intentId;
      await backend.restart();
    } finally {
      rebooting = false;
    }
  }

  function startReboot(intentId: string): JsonReply {
    if (journal.reboots.includes(intentId)) return { status: 200, body: {} };
    if (rebooting) return { status: 409, body: {} };
    journal.reboots.push(intentId);
    reboot(intentId).catch((error) => console.error(error));
    return { status: 202, body: {} };
  }

  function execute(call: JsonCall): JsonReply {
    const body = (call.body ?? {}) as Record<string, unknown>;
    const intentId = String(body.intentId ?? "");
    const taskId = String(body.taskId ?? "");
    switch (call.url.pathname) {
      case "/v1/report":
        return { status: 200, body: report() };
      case "/v1/drain":
        if (!journal.drains.includes(intentId)) {
          journal.drains.push(intentId);
          options.backend().behaviour.leaving = true;
        }
        return { status: 200, body: {} };
      case "/v1/reboot":
        return startReboot(intentId);
      case "/v1/tasks/run":
        if ((body.incarnation ?? incarnation) !== incarnation) {
          return { status: 409, body: { incarnation } };
        }
        return tasks.run(body as unknown as TaskSpec);
      case "/v1/tasks/checkpoint":
        return tasks.end(taskId, "checkpointed");
      case "/v1/tasks/throttle":
        return tasks.throttle(taskId, Number(body.cores));
      case "/v1/tasks/stop":
        return tasks.end(taskId, "stopped");
      default:
        return { status: 404, body: {} };
    }
  }

  return {
    behaviour,
    journal,
    handle(call) {
      // The agent runs on the VM, so it is down while the VM reboots.
      const unreachable = behaviour.down ||
        (rebooting && !options.backend().server.listening);
      return Promise.resolve(unreachable ? undefined : execute(call));
    },
  };
}
