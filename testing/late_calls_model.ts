import { assertNever } from "../src/errors.ts";
import type {
  EndedRunReport,
  OrderOutcome,
  RunEnding,
  StartOrder,
  WorkerAddress,
  WorkerControl,
  WorkerReport,
} from "../src/scheduler/ports.ts";
import type { Random } from "./random.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Ends the violation of a task that starts after the owner has read its end as done. */
export const AFTER_READ_END = "starts after its end as done";
/** Longest time until the lease end that a worker accepts, in ms on its clock. */
const LONGEST_LEASE_MS = 10_000;
/** Time after its sending within which a call may be executed late, in ms. */
const LATEST_EXECUTION_MS = 12_000;
/** Time for which the owner withholds acknowledgements after a start without an answer, in ms. */
const WITHHELD_MS = 3_000;
/** Share of the unanswered calls that are executed late; the others are lost. */
const LATE_SHARE = 0.7;

type Call =
  | {
    readonly kind: "start";
    readonly order: StartOrder;
  }
  | {
    readonly kind: "stop";
    readonly order: Parameters<WorkerControl["stop"]>[1];
  }
  | {
    readonly kind: "poll";
    readonly order: Parameters<WorkerControl["renewAndPoll"]>[1];
  };

/** A call with the time at which it was sent, in ms. */
type SentCall = Call & {
  readonly name: string;
  readonly workerId: string;
  /** Start time of the process that it was sent to, in ms since 1970. */
  readonly bornAtMs: number;
  readonly sentAtMs: number;
};

/** The address of a worker, which is its registration. */
type Address = WorkerAddress & { readonly bornAtMs?: number };

/** What happens to the calls that a worker receives. */
export interface CallFaults {
  /** Whether the worker receives no calls except late ones. */
  isCutOff: boolean;
  /** Fraction of the starts and stops that get no answer. */
  unansweredOrderRate: number;
  /** Fraction of the polls that get no answer. */
  unansweredPollRate: number;
}

/** One process of a worker, from its start to its crash. */
class WorkerProcess {
  /** Highest token of the executed calls. */
  fence = 0;
  /** Run numbers by task ID. */
  readonly running = new Map<string, number>();
  ended: EndedRunReport[] = [];
  /** Times of the ends, in ms, by number. */
  readonly endedAtMs = new Map<number, number>();
  readonly #highestRun = new Map<string, number>();
  #leaseEndMs = 0;
  #endNumber = 0;
  /** Number of the latest end before the lease was over and then extended. */
  #lapsedEnds = 0;
  /** Ends the wait of the polls. */
  readonly waiters = new Set<() => void>();

  constructor(
    readonly bornAtMs: number,
    readonly clockMs: () => number,
    readonly nowMs: () => number,
  ) {}

  /** Ends a run. */
  end(taskId: string, ending: RunEnding): void {
    const run = this.running.get(taskId);
    if (run === undefined) return;
    this.running.delete(taskId);
    const number = ++this.#endNumber;
    this.ended.push({ number, taskId, run, ending, checkpoint: "" });
    this.endedAtMs.set(number, this.nowMs());
    this.wakePolls();
  }

  /** Ends the wait of the polls at once. */
  wakePolls(): void {
    for (const wake of this.waiters) wake();
  }

  /** Ends all runs if the lease is over. */
  checkLease(): void {
    if (this.clockMs() <= this.#leaseEndMs) return;
    for (const taskId of [...this.running.keys()]) this.end(taskId, "lapsed");
  }

  /** Returns false for a lower token than the highest so far. */
  adoptFence(fence: number): boolean {
    if (fence < this.fence) return false;
    this.fence = fence;
    return true;
  }

  /** Whether the lease was over at some time since an end, so that acknowledging it doesn't count. */
  hasLapsedSince(number: number): boolean {
    return number <= this.#lapsedEnds || this.clockMs() > this.#leaseEndMs;
  }

  extendLease(leaseEndMs: number): void {
    if (this.clockMs() > this.#leaseEndMs) this.#lapsedEnds = this.#endNumber;
    this.#leaseEndMs = Math.max(
      this.#leaseEndMs,
      Math.min(leaseEndMs, this.clockMs() + LONGEST_LEASE_MS),
    );
  }

  /** Executes a start order, whose token was adopted; `begin` is called before a new run. */
  start(
    { taskId, run, leaseEndMs }: {
      taskId: string;
      run: number;
      leaseEndMs: number;
    },
    begin: () => void,
  ): OrderOutcome {
    if (this.running.get(taskId) === run) return this.#done();
    if (run <= (this.#highestRun.get(taskId) ?? 0)) {
      return { kind: "refused", reason: "superseded" };
    }
    if (leaseEndMs <= this.clockMs()) {
      return { kind: "refused", reason: "expired" };
    }
    begin();
    this.running.set(taskId, run);
    this.#highestRun.set(taskId, run);
    this.extendLease(leaseEndMs);
    return this.#done();
  }

  /** Executes a stop order, whose token was adopted. */
  stop({ taskId, run }: { taskId: string; run: number }): OrderOutcome {
    const highest = this.#highestRun.get(taskId) ?? 0;
    this.#highestRun.set(taskId, Math.max(highest, run));
    if ((this.running.get(taskId) ?? Infinity) <= run) {
      this.end(taskId, "stopped");
    }
    return this.#done();
  }

  /** Forgets the ends up to a number and returns them. */
  forget(acknowledged: number): EndedRunReport[] {
    const isForgotten = ({ number }: EndedRunReport) => number <= acknowledged;
    const forgotten = this.ended.filter(isForgotten);
    this.ended = this.ended.filter((end) => !isForgotten(end));
    return forgotten;
  }

  report(): { kind: "done" } & WorkerReport {
    return {
      kind: "done",
      clockMs: this.clockMs(),
      bornAtMs: this.bornAtMs,
      running: [...this.running].map(([taskId, run]) => ({
        taskId,
        run,
        checkpoint: "",
        percent: 50,
        loadMetric: 0,
      })),
      ended: [...this.ended],
      hasMoreEnded: false,
    };
  }

  #done(): OrderOutcome {
    return { kind: "done", clockMs: this.clockMs() };
  }
}

/** A worker, whose processes follow each other under its ID. */
export interface ModelWorker {
  /** Undefined while no process runs. */
  process: WorkerProcess | undefined;
  readonly faults: CallFaults;
  /** Starts that have no answer yet. */
  openStarts: number;
  /** Time at which a start without an answer was given up, in ms. */
  unansweredStartAtMs: number;
  /** Time at which the latest start without an answer was sent, in ms. */
  unansweredStartSentAtMs: number;
  /** Times since which the owner has read ends of a process that it hasn't acknowledged, in ms, by the process's start time. */
  readonly readSinceMs: Map<number, number>;
  /** Calls that may not be interrupted by a crash. */
  unbreakableCalls: number;
}

/** What has happened in a sequence. */
export interface ModelCounts {
  starts: number;
  /** Runs that starts without an answer have begun. */
  lateStarts: number;
  /** Polls without an answer that were executed and granted a lease. */
  lateExtensions: number;
  /** Late calls that a higher token has kept from being executed. */
  refusedLateCalls: number;
  acknowledgements: number;
  /** Runs of a task after its first. */
  repeatedRuns: number;
}

/** Whether the events reach the limits of the owner that are documented, see `LateCallsModel`. */
export type DocumentedLimits = "left_out" | "included";

/**
 * Workers whose calls may get no answer and be executed up to 12 s after they
 * were sent, by whichever process runs then. It checks the rules of runs
 * whenever a process executes a call.
 *
 * An acknowledgement that was withheld for 3 s is executed at once by the process
 * that it was sent to, or never. Limits that may be left out as well:
 *
 * - an acknowledgement that is sent more than 3 s after a start without an answer
 *   was given up, while that may still be executed, is treated in the same way
 * - a start whose run the owner has taken as over is lost at the next crash
 */
export class LateCallsModel {
  readonly workers = new Map<string, ModelWorker>();
  readonly trace: string[] = [];
  readonly violations: string[] = [];
  /** Starts of a task after an end of it as done that is acknowledged then or later. */
  readonly startsAfterAcknowledged: string[] = [];
  readonly counts: ModelCounts = {
    starts: 0,
    lateStarts: 0,
    lateExtensions: 0,
    refusedLateCalls: 0,
    acknowledgements: 0,
    repeatedRuns: 0,
  };
  /** Time of the latest start of each task, in ms. */
  readonly #startedAtMs = new Map<string, number>();
  /** Tasks with an acknowledged end as done. */
  readonly #acknowledgedTasks = new Set<string>();
  /** Tasks whose end as done the owner has read. */
  readonly #doneTasks = new Set<string>();
  /** Ends that the owner has read, as process and number. */
  readonly #readEnds = new Set<string>();
  /** Starts without an answer that are still to be executed. */
  readonly #lateStarts = new Set<SentCall & { readonly kind: "start" }>();
  #calls = 0;

  constructor(
    readonly time: VirtualTime,
    readonly random: Random,
    readonly limits: DocumentedLimits,
  ) {}

  /** Adds a worker without a process. */
  add(workerId: string): ModelWorker {
    const worker: ModelWorker = {
      process: undefined,
      faults: {
        isCutOff: false,
        unansweredOrderRate: 0,
        unansweredPollRate: 0,
      },
      openStarts: 0,
      unansweredStartAtMs: -Infinity,
      unansweredStartSentAtMs: -Infinity,
      readSinceMs: new Map(),
      unbreakableCalls: 0,
    };
    this.workers.set(workerId, worker);
    return worker;
  }

  /** Starts the next process of a worker, whose clock starts anew, at an age in ms; returns its start time in ms since 1970. */
  boot(workerId: string, ageMs: number): number {
    const { time } = this;
    const bornAtMs = Math.ceil(time.clock.wallMs());
    const bootedAtMs = time.nowMs();
    const worker = this.workers.get(workerId)!;
    const rate = 0.98 + this.random.next() * 0.04;
    worker.process = new WorkerProcess(
      bornAtMs,
      () => Math.floor(ageMs + (time.nowMs() - bootedAtMs) * rate),
      () => time.nowMs(),
    );
    this.note(`${workerId} boots as ${bornAtMs}`);
    return bornAtMs;
  }

  /** Ends a worker's process; `isPlaced` tells whether the owner counts a run as placed. */
  crash(
    worker: ModelWorker,
    isPlaced: (order: StartOrder) => boolean,
  ): void {
    const { process } = worker;
    worker.process = undefined;
    process?.wakePolls();
    for (const call of this.#lateStarts) {
      if (
        this.limits === "included" || isPlaced(call.order) ||
        this.workers.get(call.workerId) !== worker
      ) continue;
      this.note(`${call.name} is lost`);
      this.#lateStarts.delete(call);
    }
  }

  /** Adds a line to the sequence that a failure prints. */
  note(line: string): void {
    this.trace.push(`${(this.time.nowMs() / 1_000).toFixed(3)} ${line}`);
  }

  /** Records a report that was handed to the owner. */
  noteRead(
    { workerId, bornAtMs }: { workerId: string; bornAtMs: number },
    { ended }: WorkerReport,
  ): void {
    const { readSinceMs } = this.workers.get(workerId)!;
    if (ended.length > 0 && !readSinceMs.has(bornAtMs)) {
      readSinceMs.set(bornAtMs, this.time.nowMs());
    }
    for (const { number, taskId, ending } of ended) {
      this.#readEnds.add(`${bornAtMs} ${number}`);
      if (ending === "done") this.#doneTasks.add(taskId);
    }
  }

  /** Ends the runs whose lease is over. */
  checkLeases(): void {
    for (const { process } of this.workers.values()) process?.checkLease();
  }

  /** Returns the process that works on a run of the task. */
  findWorking(taskId: string): WorkerProcess | undefined {
    this.checkLeases();
    return [...this.workers.values()].map(({ process }) => process)
      .find((process) => process?.running.has(taskId));
  }

  /** Returns the workers as the owner calls them. */
  readonly control: WorkerControl = {
    start: (worker, order) => this.#sendStart(worker, order),
    stop: (worker, order) =>
      this.#send<{ clockMs: number }>(worker, { kind: "stop", order }),
    renewAndPoll: (worker, order) =>
      this.#send<WorkerReport>(worker, { kind: "poll", order }),
    throttle: () => Promise.resolve({ kind: "not_sent" }),
    close() {},
  };

  #violate(rule: string): void {
    this.note(`VIOLATION ${rule}`);
    this.violations.push(rule);
  }

  #reportStartAfterAcknowledged(text: string): void {
    this.note(`AFTER ACKNOWLEDGED ${text}`);
    this.startsAfterAcknowledged.push(text);
  }

  #describe(call: Call): string {
    const { order } = call;
    switch (call.kind) {
      case "start":
      case "stop":
        return `${call.kind} ${call.order.taskId} run ${call.order.run}, token ${order.fence}`;
      case "poll":
        return `poll, acknowledged ${call.order.acknowledged}, lease end ${call.order.leaseEndMs}, token ${order.fence}`;
      default:
        return assertNever(call);
    }
  }

  /** Executes a call on the process that runs now. */
  #execute(
    call: SentCall,
    isLate: boolean,
  ): OrderOutcome<WorkerReport | object> {
    const process = this.workers.get(call.workerId)!.process;
    if (process === undefined) return { kind: "unknown" };
    this.checkLeases();
    const isAccepted = process.adoptFence(call.order.fence);
    if (isLate || !isAccepted) {
      this.note(
        `${call.name} is ${
          isAccepted ? "executed" : "refused"
        } by ${process.bornAtMs}`,
      );
    }
    if (!isAccepted) {
      if (isLate) this.counts.refusedLateCalls++;
      return { kind: "refused", reason: "fenced" };
    }
    switch (call.kind) {
      case "start":
        return process.start(
          call.order,
          () => this.#checkStart(call.order, isLate),
        );
      case "stop":
        return process.stop(call.order);
      case "poll":
        return this.#poll(process, call.order, isLate);
      default:
        return assertNever(call);
    }
  }

  #poll(
    process: WorkerProcess,
    { acknowledged, leaseEndMs }: Extract<Call, { kind: "poll" }>["order"],
    isLate: boolean,
  ): OrderOutcome<WorkerReport> {
    if (leaseEndMs !== undefined) {
      process.extendLease(leaseEndMs);
      if (isLate) this.counts.lateExtensions++;
    }
    for (const { number, taskId, ending } of process.forget(acknowledged)) {
      this.counts.acknowledgements++;
      if (ending === "done" && !process.hasLapsedSince(number)) {
        this.#acknowledgedTasks.add(taskId);
        const startedAtMs = this.#startedAtMs.get(taskId)!;
        if (startedAtMs > process.endedAtMs.get(number)!) {
          this.#reportStartAfterAcknowledged(
            `${taskId} has started after end ${number} of ${process.bornAtMs}, which is acknowledged`,
          );
        }
      }
      if (this.#readEnds.has(`${process.bornAtMs} ${number}`)) continue;
      this.#violate(
        `${process.bornAtMs} forgets end ${number} of ${taskId} (${ending}), which the owner hasn't read`,
      );
    }
    return process.report();
  }

  #checkStart(
    { taskId, run }: { taskId: string; run: number },
    isLate: boolean,
  ): void {
    this.counts.starts++;
    if (isLate) this.counts.lateStarts++;
    if (run > 1) this.counts.repeatedRuns++;
    if (this.findWorking(taskId) !== undefined) {
      this.#violate(`${taskId} run ${run} starts while another run works`);
    }
    this.#startedAtMs.set(taskId, this.time.nowMs());
    if (this.#acknowledgedTasks.has(taskId)) {
      this.#reportStartAfterAcknowledged(
        `${taskId} run ${run} starts after its end as done was acknowledged`,
      );
    }
    if (this.#doneTasks.has(taskId)) {
      this.#violate(`${taskId} run ${run} ${AFTER_READ_END}`);
    }
  }

  /** Executes a call that gets no answer on whichever process runs at some time, or never. */
  #executeLate(call: SentCall): void {
    if (this.random.next() > LATE_SHARE) return;
    const dueAtMs = call.sentAtMs + this.random.next() * LATEST_EXECUTION_MS;
    const delayMs = dueAtMs - this.time.nowMs();
    if (delayMs <= 0) return;
    if (call.kind === "start") this.#lateStarts.add(call);
    this.time.after(delayMs, () => {
      if (call.kind === "start" && !this.#lateStarts.delete(call)) return;
      this.#execute(call, true);
    });
  }

  /** Whether a poll acknowledges ends although a start without an answer may still be executed, as 3 s are over. */
  #isOverdueAcknowledgement(worker: ModelWorker, call: SentCall): boolean {
    if (call.kind !== "poll" || call.order.acknowledged === 0) return false;
    const nowMs = this.time.nowMs();
    const withheldMs = nowMs -
      (worker.readSinceMs.get(call.bornAtMs) ?? nowMs);
    worker.readSinceMs.delete(call.bornAtMs);
    const isSoonAfterStart = worker.openStarts > 0 ||
      nowMs - worker.unansweredStartAtMs <= WITHHELD_MS;
    if (isSoonAfterStart) return withheldMs > WITHHELD_MS;
    return this.limits === "left_out" &&
      nowMs - worker.unansweredStartSentAtMs < LATEST_EXECUTION_MS;
  }

  async #send<T>(
    { workerId, bornAtMs = 0 }: Address,
    sent: Call,
  ): Promise<OrderOutcome<T>> {
    const worker = this.workers.get(workerId)!;
    const call: SentCall = {
      ...sent,
      name: `call ${++this.#calls} to ${workerId}`,
      workerId,
      bornAtMs,
      sentAtMs: this.time.nowMs(),
    };
    this.note(`${call.name}: ${this.#describe(call)}`);
    return await this.#answer<T>(worker, call);
  }

  async #sendStart(
    address: Address,
    order: StartOrder,
  ): Promise<OrderOutcome> {
    const worker = this.workers.get(address.workerId)!;
    const sentAtMs = this.time.nowMs();
    worker.openStarts++;
    const outcome = await this.#send<{ clockMs: number }>(address, {
      kind: "start",
      order,
    });
    worker.openStarts--;
    // The owner takes the answer of another process for none.
    if (
      outcome.kind === "unknown" ||
      worker.process?.bornAtMs !== address.bornAtMs
    ) {
      worker.unansweredStartAtMs = this.time.nowMs();
      worker.unansweredStartSentAtMs = Math.max(
        worker.unansweredStartSentAtMs,
        sentAtMs,
      );
    }
    return outcome;
  }

  async #answer<T>(
    worker: ModelWorker,
    call: SentCall,
  ): Promise<OrderOutcome<T>> {
    const { faults } = worker;
    const isOverdue = this.#isOverdueAcknowledgement(worker, call);
    const unansweredRate = call.kind === "poll"
      ? faults.unansweredPollRate
      : faults.unansweredOrderRate;
    const process = worker.process;
    const isExecuted = process !== undefined && !faults.isCutOff &&
      !(isOverdue && process.bornAtMs !== call.bornAtMs);
    if (
      !isExecuted || (!isOverdue && this.random.next() < unansweredRate)
    ) {
      if (!isOverdue) this.#executeLate(call);
      return await this.#giveUp(call, 50 + this.random.next() * 1_000);
    }
    if (isOverdue) worker.unbreakableCalls++;
    try {
      await this.#wait(1 + this.random.next() * 3);
      if (worker.process !== process) {
        this.#executeLate(call);
        return await this.#giveUp(call, 50);
      }
      const outcome = this.#execute(call, false) as OrderOutcome<T>;
      await this.#wait(1 + this.random.next() * 3);
      if (call.kind === "poll" && outcome.kind === "done" && !isOverdue) {
        return await this.#answerPoll<T>(worker, process, call);
      }
      if (worker.process === process) return outcome;
      this.#executeLate(call);
      return await this.#giveUp(call, 50);
    } finally {
      if (isOverdue) worker.unbreakableCalls--;
    }
  }

  /** Answers a poll at the next end, or once it has waited. */
  async #answerPoll<T>(
    worker: ModelWorker,
    process: WorkerProcess,
    call: Extract<SentCall, { kind: "poll" }>,
  ): Promise<OrderOutcome<T>> {
    const isOver = () => worker.process !== process || worker.faults.isCutOff;
    if (!isOver() && process.ended.length === 0 && call.order.waitMs > 0) {
      await new Promise<void>((resolve) => {
        process.waiters.add(resolve);
        this.time.after(call.order.waitMs, resolve);
      });
    }
    if (isOver()) {
      this.#executeLate(call);
      return await this.#giveUp(call, 50);
    }
    process.checkLease();
    return process.report() as unknown as OrderOutcome<T>;
  }

  async #giveUp(
    call: SentCall,
    timeoutMs: number,
  ): Promise<{ kind: "unknown" }> {
    await this.#wait(timeoutMs);
    this.note(`${call.name} gets no answer`);
    return { kind: "unknown" };
  }

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => this.time.after(durationMs, resolve));
  }
}
