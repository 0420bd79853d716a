import { setTimeout as delay } from "node:timers/promises";
import type {
  ActiveRunReport,
  EndedRunReport,
  OrderOutcome,
  Resources,
  RunEnding,
  StartOrder,
  WorkerControl,
  WorkerRegistration,
  WorkerReport,
} from "../src/scheduler/ports.ts";
import type { JobSpec } from "../src/scheduler/model.ts";
import type { Random } from "./random.ts";

/** A run of a task on a fake worker; `startedAtMs` is monotonic. */
interface Run {
  readonly taskId: string;
  readonly run: number;
  /** Monotonic time at which the start order was sent, in ms; only calls that were kept are executed much later. */
  readonly orderedAtMs: number;
  readonly startedAtMs: number;
  readonly durationMs: number;
  readonly longRunning: boolean;
  readonly cpuMillis: number;
  readonly memoryMb: number;
}

/** Faults of the workers; tests may change them at any time. */
export interface WorkerFaults {
  /** Fraction of orders that are executed late and get no response. */
  lateOrderRate: number;
  /** Upper bound of the random part of a late order's delay, in ms; the fixed part is 200 ms. */
  lateMs: number;
  /** Whether the polls that wait at a worker that crashes are kept for its next process, see `executeHeldCalls`. */
  holdsPollsOfCrashed: boolean;
  /** Ids of workers that leave starts unanswered, which are kept as well. */
  readonly holdsStarts: Set<string>;
  /** Time after which the caller of a call that is kept gives up, in ms. */
  heldStartTimeoutMs: number;
  /** Ids of workers that leave all calls unanswered, also those that wait at a crash; the calls are kept. */
  readonly holdsCalls: Set<string>;
  /** Fraction of orders that workers refuse because they are unhealthy. */
  unhealthyRate: number;
  /** Ids of workers whose runs don't finish by themselves. */
  readonly slow: Set<string>;
  /** Fraction of runs that fail. */
  failedRunRate: number;
  /** Ids of workers that receive no orders. */
  readonly unreachable: Set<string>;
  /** Ids of workers that execute polls but whose reports get lost. */
  readonly silent: Set<string>;
  /** Ids of workers whose VM is paused: they do nothing, and execute the orders of that time when it is resumed. */
  readonly paused: Set<string>;
  /** Ids of workers whose reports contain a run that can't be read; only the soak's servers apply it. */
  readonly unreadable: Set<string>;
  /** Ids of tasks that end each worker that starts them. */
  readonly deadlyTasks: Set<string>;
  /** Time from the start of such a task to the end of its worker, in ms. */
  deadlyAfterMs: number;
  /** Time after which a smaller capacity of a worker counts, in ms. */
  capacityGraceMs: number;
}

/** Delay of a worker's response, in ms. */
const RESPONSE_DELAY_MS = 1;
/** Time after which a smaller capacity counts, in ms: the platform's contact time and one heartbeat. */
const CAPACITY_GRACE_MS = 4_500;
/** Maximum time from now until the lease end that a worker accepts, in ms. */
const MAXIMUM_LEASE_MS = 10_000;
/** Longest time from a call until it is executed late, in ms. */
const LATE_CALL_LIMIT_MS = 12_000;

/** A call that a worker has neither executed nor answered yet. */
interface HeldCall {
  readonly workerId: string;
  readonly kind: "start" | "stop" | "poll";
  /** Monotonic time, in ms. */
  readonly sentAtMs: number;
  readonly execute: () => void;
}

/** A worker of the in-memory fleet. */
export class FakeTaskWorker {
  /** Highest fence of an order so far; orders with a lower one are refused. */
  fence = 0;
  /** Active runs by task id. */
  readonly running = new Map<string, Run>();
  /** Ended runs that the owner hasn't acknowledged yet. */
  ended: EndedRunReport[] = [];
  /** End of the worker's lease on its clock, in ms. */
  leaseEndMs = 0;
  alive = true;
  #nextNumber = 1;
  /** Highest run number that was started or stopped, by task id. */
  readonly highestRun = new Map<string, number>();
  /** Callbacks of pending polls, called when a run ends. */
  waiters = new Set<() => void>();

  /** Earlier capacities with the monotonic time at which each was replaced, in ms. */
  readonly #earlierCapacities: {
    capacity: Resources;
    replacedAtMs: number;
  }[] = [];

  constructor(
    public registration: WorkerRegistration,
    readonly clockOffsetMs: number,
  ) {}

  /** Changes the capacity while the process runs. */
  resize(capacity: Resources): void {
    this.#earlierCapacities.push({
      capacity: this.registration.capacity,
      replacedAtMs: performance.now(),
    });
    this.registration = { ...this.registration, capacity };
  }

  /** Returns the largest capacity that starts may still rely on, as a smaller one counts only after a while. */
  allowedCapacity(graceMs: number): Resources {
    const sinceMs = performance.now() - graceMs;
    const capacities = this.#earlierCapacities
      .filter(({ replacedAtMs }) => replacedAtMs > sinceMs)
      .map(({ capacity }) => capacity);
    const all = [this.registration.capacity, ...capacities];
    return {
      cpuMillis: Math.max(...all.map(({ cpuMillis }) => cpuMillis)),
      memoryMb: Math.max(...all.map(({ memoryMb }) => memoryMb)),
      gpuCount: Math.max(...all.map(({ gpuCount }) => gpuCount)),
    };
  }

  /** Returns the time on the worker's clock, in ms; each worker has a different offset. */
  clockMs(): number {
    return Math.floor(performance.now() + this.clockOffsetMs);
  }

  /** Ends a task's active run, if there is one, and reports it to pending polls. */
  end(taskId: string, ending: RunEnding): void {
    const run = this.running.get(taskId);
    if (run === undefined) return;
    this.running.delete(taskId);
    this.ended.push({
      number: this.#nextNumber++,
      taskId,
      run: run.run,
      ending,
      checkpoint: "",
    });
    for (const waiter of [...this.waiters]) waiter();
  }
}

/** Records violations of the guarantees given to callers, as observed by the workers. */
export class InvariantChecker {
  readonly violations: string[] = [];
  /** Submitted jobs by id. */
  readonly specs = new Map<string, JobSpec>();
  /** Ids of tasks whose completion the owner has acknowledged to the worker. */
  readonly acknowledgedDone = new Set<string>();
  /** Ids of tasks that have completed on a worker. */
  readonly done = new Set<string>();
  /** Number of failed runs by task id. */
  readonly failures = new Map<string, number>();
  /** Number of workers that a task has ended, by task id. */
  readonly crashes = new Map<string, number>();
  /** Number of starts of a task after it had ended three workers, by task id. */
  readonly startsAfterThreeCrashes = new Map<string, number>();
  /** Monotonic time at which each cancellation was acknowledged, in ms, by job id. */
  readonly cancelledAtMs = new Map<string, number>();
  /** Number of runs started by all workers. */
  starts = 0;

  /** Records a violation of a rule. */
  report(rule: string, detail: string): void {
    this.violations.push(`${rule}: ${detail}`);
  }
}

/** A fleet of in-memory workers, which each entry reaches through its own client. */
export class FakeTaskWorkers {
  readonly faults: WorkerFaults = {
    lateOrderRate: 0,
    lateMs: 2_000,
    holdsPollsOfCrashed: false,
    holdsStarts: new Set(),
    heldStartTimeoutMs: 100,
    holdsCalls: new Set(),
    unhealthyRate: 0,
    slow: new Set(),
    failedRunRate: 0,
    unreachable: new Set(),
    silent: new Set(),
    paused: new Set(),
    unreadable: new Set(),
    deadlyTasks: new Set(),
    deadlyAfterMs: 10,
    capacityGraceMs: CAPACITY_GRACE_MS,
  };
  /** Called when a worker's process has crashed. */
  onCrash: (worker: FakeTaskWorker) => void = () => {};
  readonly workers = new Map<string, FakeTaskWorker>();
  /** Orders that have reached a paused VM. */
  #pausedOrders: { worker: FakeTaskWorker; execute: () => void }[] = [];
  #heldCalls: HeldCall[] = [];
  readonly #timer: NodeJS.Timeout;

  constructor(readonly random: Random, readonly invariants: InvariantChecker) {
    this.#timer = setInterval(() => this.#tick(), 10);
    this.#timer.unref();
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Clock offset of the workers that are added, in ms; undefined for random ones. */
  clockOffsetMs: number | undefined;

  /** Adds a worker. */
  add(
    registration: WorkerRegistration,
    clockOffsetMs = this.clockOffsetMs ?? Math.floor(this.random.next() * 1e6),
  ): FakeTaskWorker {
    const worker = new FakeTaskWorker(registration, clockOffsetMs);
    this.workers.set(registration.workerId, worker);
    return worker;
  }

  /** Ends a worker's process with all its runs. */
  crash(worker: FakeTaskWorker): void {
    if (!worker.alive) return;
    worker.alive = false;
    worker.running.clear();
    for (const waiter of [...worker.waiters]) waiter();
    this.onCrash(worker);
  }

  /** Number of calls that are kept. */
  get heldCalls(): number {
    return this.#heldCalls.length;
  }

  /** Executes the calls that were kept, or those of one kind, on the process that runs under the worker's ID now, as a platform may that delivers calls late. */
  executeHeldCalls(only?: "start" | "poll"): void {
    const calls = this.#heldCalls;
    this.#heldCalls = [];
    for (const call of calls) {
      if (only === undefined || call.kind === only) call.execute();
      else this.#heldCalls.push(call);
    }
  }

  /** Executes the calls that were kept for one worker like `executeHeldCalls`, but each at a random time within `spreadMs`. */
  executeHeldCallsLate(workerId: string, spreadMs: number): void {
    const calls = this.#heldCalls;
    this.#heldCalls = calls.filter((call) => call.workerId !== workerId);
    for (const call of calls) {
      if (call.workerId !== workerId) continue;
      const remainingMs = call.sentAtMs + LATE_CALL_LIMIT_MS -
        performance.now();
      const withinMs = Math.min(spreadMs, remainingMs);
      setTimeout(call.execute, this.random.next() * withinMs).unref();
    }
  }

  /** Keeps a call for the process that runs under the worker's ID later. */
  #hold(
    call: Omit<HeldCall, "execute">,
    execute: (worker: FakeTaskWorker) => void,
  ): void {
    this.#heldCalls.push({
      ...call,
      execute: () => {
        const worker = this.workers.get(call.workerId)!;
        if (worker.alive && !this.#isPaused(worker)) execute(worker);
      },
    });
  }

  /** Ends the worker that has started a deadly task. */
  #crashLater(worker: FakeTaskWorker, taskId: string): void {
    setTimeout(() => {
      if (!worker.alive || !worker.running.has(taskId)) return;
      const { crashes } = this.invariants;
      crashes.set(taskId, (crashes.get(taskId) ?? 0) + 1);
      this.crash(worker);
    }, this.faults.deadlyAfterMs).unref();
  }

  #isPaused({ registration: { workerId } }: FakeTaskWorker): boolean {
    return this.faults.paused.has(workerId);
  }

  /** Executes what has reached workers that are no longer paused. */
  #executePausedOrders(): void {
    const orders = this.#pausedOrders;
    this.#pausedOrders = orders.filter(({ worker }) => this.#isPaused(worker));
    for (const { worker, execute } of orders) {
      if (worker.alive && !this.#isPaused(worker)) execute();
    }
  }

  /** Ends the runs that are over, and all runs of workers whose lease has lapsed. */
  #tick(): void {
    for (const worker of this.workers.values()) {
      if (!worker.alive || this.#isPaused(worker)) continue;
      const lapsed = worker.clockMs() > worker.leaseEndMs;
      for (const run of [...worker.running.values()]) {
        if (lapsed) worker.end(run.taskId, "lapsed");
        else if (
          !run.longRunning &&
          !this.faults.slow.has(worker.registration.workerId) &&
          performance.now() - run.startedAtMs > run.durationMs
        ) {
          const failed = this.random.next() < this.faults.failedRunRate;
          if (failed) {
            this.invariants.failures.set(
              run.taskId,
              (this.invariants.failures.get(run.taskId) ?? 0) + 1,
            );
          } else this.invariants.done.add(run.taskId);
          worker.end(run.taskId, failed ? "failed" : "done");
        }
      }
    }
    this.#executePausedOrders();
  }

  /** Reports each guarantee that the start of a run violates. */
  #checkStart(worker: FakeTaskWorker, order: StartOrder, run: Run): void {
    const { invariants: checker } = this;
    checker.starts++;
    const [jobId, , step] = order.taskId.split(".");
    const spec = checker.specs.get(jobId!);
    if (spec === undefined) {
      return checker.report(
        "UNKNOWN_JOB",
        `${order.taskId} belongs to no submitted job`,
      );
    }
    for (const other of this.workers.values()) {
      // A paused worker ends its runs when it is resumed, if their lease is over.
      const isOver = this.#isPaused(other) &&
        other.clockMs() > other.leaseEndMs;
      if (other.alive && !isOver && other.running.has(order.taskId)) {
        checker.report(
          "DUPLICATE_RUN",
          `${order.taskId} run ${order.run} starts on ${worker.registration.workerId} while it runs on ${other.registration.workerId}`,
        );
      }
    }
    if (checker.acknowledgedDone.has(order.taskId)) {
      checker.report(
        "DUPLICATE_RUN",
        `${order.taskId} starts after its completion was acknowledged`,
      );
    }
    for (const prerequisite of spec.steps[Number(step)]!.after) {
      for (
        let index = 0;
        index < spec.steps[prerequisite]!.taskCount;
        index++
      ) {
        if (!checker.done.has(`${jobId}.0.${prerequisite}.${index}`)) {
          checker.report(
            "STEP_ORDER",
            `${order.taskId} starts before step ${prerequisite} is done`,
          );
        }
      }
    }
    if ((checker.failures.get(order.taskId) ?? 0) >= spec.maximumAttempts) {
      checker.report(
        "ATTEMPT_LIMIT",
        `${order.taskId} starts after its last attempt`,
      );
    }
    if ((checker.crashes.get(order.taskId) ?? 0) >= 3) {
      const starts = (checker.startsAfterThreeCrashes.get(order.taskId) ?? 0) +
        1;
      checker.startsAfterThreeCrashes.set(order.taskId, starts);
      if (starts >= 3) {
        checker.report(
          "CRASH_LIMIT",
          `${order.taskId} starts for the ${starts}th time after three crashes`,
        );
      }
    }
    const capacity = worker.allowedCapacity(
      this.faults.capacityGraceMs,
    );
    const used = [...worker.running.values(), run];
    if (
      used.reduce((sum, item) => sum + item.cpuMillis, 0) >
        capacity.cpuMillis ||
      used.reduce((sum, item) => sum + item.memoryMb, 0) > capacity.memoryMb
    ) {
      checker.report(
        "CAPACITY",
        `${worker.registration.workerId} is overloaded`,
      );
    }
  }

  /** Executes an order on a worker with the injected faults; resolves with `unknown` if there is no response. */
  #execute<T>(
    workerId: string,
    run: (worker: FakeTaskWorker) => OrderOutcome<T>,
  ): Promise<OrderOutcome<T>> {
    const worker = this.workers.get(workerId);
    if (
      worker === undefined || !worker.alive ||
      this.faults.unreachable.has(workerId)
    ) {
      // The caller gives up on an unreachable worker after 50 ms.
      return delay(50, { kind: "unknown" as const });
    }
    if (this.#isPaused(worker)) {
      const execute = () => void run(worker);
      this.#pausedOrders.push({ worker, execute });
      return delay(100, { kind: "unknown" as const });
    }
    if (this.random.next() < this.faults.lateOrderRate) {
      const lateMs = 200 + this.random.next() * this.faults.lateMs;
      setTimeout(() => {
        if (worker.alive) run(worker);
      }, lateMs).unref();
      // The caller gives up on a late order after 100 ms, before the order is executed.
      return delay(100, { kind: "unknown" as const });
    }
    if (this.random.next() < this.faults.unhealthyRate) {
      const refusal = { kind: "refused", reason: "unhealthy" } as const;
      return delay(RESPONSE_DELAY_MS, refusal);
    }
    return delay(RESPONSE_DELAY_MS).then(() =>
      worker.alive ? run(worker) : { kind: "unknown" }
    );
  }

  /** Whether an order's fence is outdated; otherwise adopts it. */
  #rejectsFence(worker: FakeTaskWorker, fence: number): boolean {
    if (fence < worker.fence) return true;
    worker.fence = fence;
    return false;
  }

  #extendLease(worker: FakeTaskWorker, leaseEndMs: number): void {
    worker.leaseEndMs = Math.max(
      worker.leaseEndMs,
      Math.min(leaseEndMs, worker.clockMs() + MAXIMUM_LEASE_MS),
    );
  }

  #start(
    worker: FakeTaskWorker,
    order: StartOrder,
    orderedAtMs = performance.now(),
  ): OrderOutcome {
    if (this.#rejectsFence(worker, order.fence)) {
      return { kind: "refused", reason: "fenced" };
    }
    const existing = worker.running.get(order.taskId);
    if (existing?.run === order.run) {
      return { kind: "done", clockMs: worker.clockMs() };
    }
    if (order.run <= (worker.highestRun.get(order.taskId) ?? 0)) {
      return { kind: "refused", reason: "superseded" };
    }
    if (order.leaseEndMs <= worker.clockMs()) {
      return { kind: "refused", reason: "expired" };
    }
    const [jobId, , stepIndex] = order.taskId.split(".");
    const step = this.invariants.specs.get(jobId!)?.steps[Number(stepIndex)];
    const run: Run = {
      taskId: order.taskId,
      run: order.run,
      orderedAtMs,
      startedAtMs: performance.now(),
      durationMs: (step?.estimatedMs ?? 50) * (0.5 + this.random.next()),
      longRunning: step?.longRunning ?? false,
      cpuMillis: step?.cpuMillis ?? 0,
      memoryMb: step?.memoryMb ?? 0,
    };
    this.#checkStart(worker, order, run);
    worker.running.set(order.taskId, run);
    worker.highestRun.set(order.taskId, order.run);
    this.#extendLease(worker, order.leaseEndMs);
    if (this.faults.deadlyTasks.has(order.taskId)) {
      this.#crashLater(worker, order.taskId);
    }
    return { kind: "done", clockMs: worker.clockMs() };
  }

  #report(worker: FakeTaskWorker, acknowledged: number): WorkerReport {
    for (const { number, taskId, ending } of worker.ended) {
      if (number <= acknowledged && ending === "done") {
        this.invariants.acknowledgedDone.add(taskId);
      }
    }
    worker.ended = worker.ended.filter(({ number }) => number > acknowledged);
    const nowMs = performance.now();
    return {
      clockMs: worker.clockMs(),
      bornAtMs: worker.registration.bornAtMs,
      running: [...worker.running.values()].map((run): ActiveRunReport => ({
        taskId: run.taskId,
        run: run.run,
        checkpoint: "",
        percent: run.longRunning
          ? 100
          : Math.min(99, 100 * (nowMs - run.startedAtMs) / run.durationMs),
        loadMetric: 0,
      })),
      ended: [...worker.ended],
      hasMoreEnded: false,
    };
  }

  /** Returns the workers as an entry sees them; `isUp` returns false once the entry is dead. */
  client(isUp: () => boolean): WorkerControl {
    const unlessDown = <T>(call: Promise<OrderOutcome<T>>) =>
      call.then((outcome): OrderOutcome<T> =>
        isUp() ? outcome : { kind: "unknown" }
      );
    const noResponse: OrderOutcome<never> = { kind: "unknown" };
    const giveUp = () => delay(this.faults.heldStartTimeoutMs, noResponse);
    const { holdsStarts, holdsCalls } = this.faults;
    return {
      start: ({ workerId }, order) => {
        if (!isUp()) return Promise.resolve(noResponse);
        if (holdsStarts.has(workerId) || holdsCalls.has(workerId)) {
          const sentAtMs = performance.now();
          this.#hold(
            { workerId, kind: "start", sentAtMs },
            (worker) => void this.#start(worker, order, sentAtMs),
          );
          return giveUp();
        }
        return unlessDown(
          this.#execute(workerId, (worker) => this.#start(worker, order)),
        );
      },
      stop: ({ workerId }, { taskId, run, fence }) => {
        if (!isUp()) return Promise.resolve(noResponse);
        const stop = (
          worker: FakeTaskWorker,
        ): OrderOutcome<{ clockMs: number }> => {
          if (this.#rejectsFence(worker, fence)) {
            return { kind: "refused", reason: "fenced" };
          }
          const existing = worker.running.get(taskId);
          worker.highestRun.set(
            taskId,
            Math.max(worker.highestRun.get(taskId) ?? 0, run),
          );
          if (existing !== undefined && existing.run <= run) {
            worker.end(taskId, "stopped");
          }
          return { kind: "done", clockMs: worker.clockMs() };
        };
        if (holdsCalls.has(workerId)) {
          const sentAtMs = performance.now();
          this.#hold({ workerId, kind: "stop", sentAtMs }, stop);
          return giveUp();
        }
        return unlessDown(this.#execute(workerId, stop));
      },
      throttle: () => Promise.resolve({ kind: "done", clockMs: 0 }),
      renewAndPoll: async (
        { workerId },
        { fence, acknowledged, leaseEndMs, waitMs },
      ) => {
        if (!isUp()) return delay(100, noResponse);
        const sentAtMs = performance.now();
        const worker = this.workers.get(workerId);
        const poll = (target: FakeTaskWorker): OrderOutcome<WorkerReport> => {
          if (this.#rejectsFence(target, fence)) {
            return { kind: "refused", reason: "fenced" };
          }
          if (leaseEndMs !== undefined) this.#extendLease(target, leaseEndMs);
          return { kind: "done", ...this.#report(target, acknowledged) };
        };
        if (holdsCalls.has(workerId)) {
          this.#hold({ workerId, kind: "poll", sentAtMs }, poll);
          return giveUp();
        }
        const first = await unlessDown(
          this.#execute<WorkerReport>(workerId, poll),
        );
        if (this.faults.silent.has(workerId)) return delay(50, noResponse);
        if (
          first.kind !== "done" || first.ended.length > 0 || waitMs === 0 ||
          worker === undefined
        ) return first;
        await new Promise<void>((resolve) => {
          const done = () => {
            clearTimeout(timer);
            worker.waiters.delete(done);
            resolve();
          };
          const timer = setTimeout(done, waitMs);
          worker.waiters.add(done);
        });
        const holdsPolls = this.faults.holdsPollsOfCrashed ||
          holdsCalls.has(workerId);
        if (!worker.alive && holdsPolls) {
          this.#hold({ workerId, kind: "poll", sentAtMs }, poll);
        }
        if (
          !isUp() || !worker.alive || this.faults.unreachable.has(workerId) ||
          this.faults.silent.has(workerId) || this.#isPaused(worker)
        ) {
          return delay(50, noResponse);
        }
        return { kind: "done", ...this.#report(worker, 0) };
      },
      close() {},
    };
  }
}
