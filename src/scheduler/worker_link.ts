import { type Operation, sleep, until } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { createNotifier, type Notifier } from "../notifier.ts";
import type { StartAttempt, WorkerLife } from "./worker_lives.ts";
import type { PollPacing } from "./poll_pacing.ts";
import type {
  EndedRunReport,
  OrderOutcome,
  StartOrder,
  WorkerControl,
  WorkerRegistration,
  WorkerReport,
} from "./ports.ts";

/**
 * Lease of all runs on a worker, in ms. It outlasts a change of owner (the
 * owner's lease of 2 s, loading the records and the first call), and is shorter
 * than the platform's limit of 10 s, so that tasks of an unreachable worker can
 * be placed again in time.
 */
export const RUN_LEASE_MS = 7_000;
/**
 * Longest lease that a worker grants, in ms, with a margin for its clock. The
 * lease end in an order counts on the clock of the process that it was meant
 * for, so that a later process may take it for any length, from the moment at
 * which it executes the order.
 */
export const MAXIMUM_LEASE_MS = 10_700;
/** Factor on the lease time in the upper bound of a lease: a worker's clock may run 2% slow, so that its leases last longer than granted. */
const CLOCK_RATE_FACTOR = 1.03;
/** Added to the end of a lease before its runs count as ended, in ms. */
const LEASE_MARGIN_MS = 400;
/** Pause between two checks whether orders may be sent, in ms. */
const ORDER_CHECK_INTERVAL_MS = 150;
/** Longest wait for the journal before the leases are renewed without acknowledging ended runs, in ms. */
const JOURNAL_WAIT_MS = 700;
/** Time by which a worker's clock may seem to be behind, in ms, as it may run slow; a process that restarts begins its clock anew. */
const CLOCK_TOLERANCE_MS = 1_000;
/** Number of ends that may wait to be acknowledged; a worker lists 500 at a time, and further ones only once these are acknowledged. */
const MAXIMUM_WITHHELD_ENDS = 300;
/** Number of attempts to send an order that later ones overtake. */
const MAXIMUM_OVERTAKEN = 3;

/** What a poll acknowledges. */
interface Acknowledgement {
  /** Number up to which ended runs are acknowledged; 0 for none. */
  readonly endNumber: number;
  /** Whether a start has no answer; the poll is to be answered at once, as it must not be left to the worker's next process. */
  readonly isForced: boolean;
}

/** Callbacks of a worker link. */
export interface WorkerLinkEvents {
  /** Called with a report of this worker instance; `sentAtMs` is the monotonic time at which it was requested. */
  onReport(link: WorkerLink, report: WorkerReport, sentAtMs: number): void;
  /** Called when the worker instance has ended because another one responds; `successorBornAtMs` is the start time of one with the same ID. */
  onInstanceEnded(link: WorkerLink, successorBornAtMs?: number): void;
  /** Called when the worker rejected an order because it has seen a newer owner's fencing token. */
  onFenced(link: WorkerLink): void;
  /** Runs the callback once all records scheduled so far are stored. */
  afterFlush(callback: () => void): void;
  /** Whether the owner may still issue orders. */
  mayOrder(): boolean;
}

/** The owner's connection to one worker instance: it polls the instance, renews its leases and sends orders. */
export interface WorkerLink {
  readonly registration: WorkerRegistration;
  updateRegistration(registration: WorkerRegistration): void;
  /** Whether the worker has responded to a call of this owner. */
  readonly hasResponded: boolean;
  /** Time since the last response, in ms; 0 unless the latest call failed. */
  silentMs(): number;
  /** Monotonic time of the last response, in ms; undefined before the first. */
  readonly lastResponseAtMs: number | undefined;
  /** Whether every lease that may have been granted has expired. */
  leasesExpired(): boolean;
  /** Monotonic time until which the leases of a process that has restarted unseen may last, in ms. */
  unseenLeasesEndMs(): number;
  start(order: Omit<StartOrder, "leaseEndMs" | "fence">): Promise<OrderOutcome>;
  stop(taskId: string, run: number): Promise<OrderOutcome>;
  throttle(taskId: string, run: number, percent: number): Promise<OrderOutcome>;
  /** Calls the worker only to learn whether it still responds, beside the poll that may be waiting. */
  probe(): Promise<void>;
  /** Polls the worker again without pause if the latest call failed. */
  pollNow(): void;
  /** Whether the worker is polled at a short interval, because it runs serving tasks. */
  needsFrequentPolls: boolean;
  /** Whether the worker may have runs. */
  mayHaveRuns: boolean;
  /** Closes the link; its tasks count as ended. */
  close(): void;
  run(): Operation<void>;
}

/** Dependencies and settings of a worker link. */
export interface WorkerLinkOptions {
  readonly registration: WorkerRegistration;
  readonly life: WorkerLife;
  readonly control: WorkerControl;
  readonly clock: Clock;
  readonly log: Logger;
  readonly events: WorkerLinkEvents;
  /** Monotonic time until which leases may last that calls of earlier owners, or calls to the worker's earlier processes, extend, in ms. */
  readonly earlierLeasesEndMs: number;
  readonly pacing: PollPacing;
}

/** Creates the link to one worker instance. */
export function createWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { life, control, clock, log, events, pacing } = options;
  let worker = options.registration;
  let processedEndNumber = 0;
  let storedEndNumber = 0;
  /** Number of the latest end of which the process has confirmed the acknowledgement. */
  let acknowledgedEndNumber = 0;
  let clockOffsetMs: number | undefined;
  let hasResponded = false;
  let hasReported = false;
  let lastResponseAtMs = clock.monotonicMs();
  let failing = false;
  let { earlierLeasesEndMs } = options;
  let leaseBoundMs = -Infinity;
  let closed = false;
  const pollWake: Notifier = createNotifier();

  function updateClockOffset(clockMs: number): void {
    // The worker read its clock before the response arrived, so this offset never makes a lease longer than intended.
    clockOffsetMs = clockMs - clock.monotonicMs();
    if (failing) {
      log.info("worker responds again", { worker: worker.workerId });
      pacing.recordReturn(worker.workerId);
    }
    failing = false;
    if (!hasResponded) {
      // From this call on, the process refuses those with lower tokens.
      earlierLeasesEndMs = Math.min(
        earlierLeasesEndMs,
        clock.monotonicMs() + MAXIMUM_LEASE_MS,
      );
    }
    hasResponded = true;
    lastResponseAtMs = clock.monotonicMs();
  }

  /** Logs the first report of a worker's next process, which shows what it has executed before this owner's first call to it. */
  function logFirstReport(
    { running, ended }: Pick<WorkerReport, "running" | "ended">,
  ): void {
    log.info("first report of a worker's next process", {
      worker: worker.workerId,
      bornAtMs: worker.bornAtMs,
      fence: life.fence,
      running: running.map(({ taskId, run }) => `${taskId} run ${run}`),
      ended: ended.map(({ number, taskId, run, ending }) =>
        `${number}: ${taskId} run ${run}, ${ending}`
      ),
    });
  }

  /** Returns the lease end that the next call grants, on the worker's clock; undefined while the clock offset is unknown. */
  function nextLeaseEndMs(): number | undefined {
    return clockOffsetMs === undefined
      ? undefined
      : Math.floor(clock.monotonicMs() + clockOffsetMs + RUN_LEASE_MS);
  }

  /** Extends the upper bound of all leases: a call may grant a lease even if its response is lost. */
  function extendLeaseBound(): void {
    life.beginExtension();
    leaseBoundMs = Math.max(
      leaseBoundMs,
      clock.monotonicMs() + RUN_LEASE_MS * CLOCK_RATE_FACTOR + LEASE_MARGIN_MS,
    );
  }

  /** Replaces the outcome of an order by `unknown` if the clock in the response shows that another process has executed it. */
  function requireSameProcess(
    outcome: OrderOutcome,
    sentAtMs: number,
  ): OrderOutcome {
    if (outcome.kind !== "done" || clockOffsetMs === undefined) return outcome;
    const behindMs = sentAtMs + clockOffsetMs - outcome.clockMs;
    if (behindMs < CLOCK_TOLERANCE_MS) return outcome;
    log.info("order was answered by another process of its worker", {
      worker: worker.workerId,
      bornAtMs: worker.bornAtMs,
      behindMs: Math.round(behindMs),
    });
    return { kind: "unknown" };
  }

  /** Whether a call was refused because a later one of this link, with a higher token, was executed first. */
  function isOvertaken<T>(outcome: OrderOutcome<T>, fence: number): boolean {
    return outcome.kind === "refused" && outcome.reason === "fenced" &&
      fence < life.fence;
  }

  /** Sends an order, again with the latest token if it was overtaken. */
  async function sendOrder(
    send: () => { fence: number; response: Promise<OrderOutcome> },
    onOutcome: (outcome: OrderOutcome) => void = () => {},
  ): Promise<OrderOutcome> {
    for (let attempts = 1; attempts <= MAXIMUM_OVERTAKEN; attempts++) {
      if (closed) break;
      const sentAtMs = clock.monotonicMs();
      const { fence, response } = send();
      const outcome = requireSameProcess(await response, sentAtMs);
      onOutcome(outcome);
      handleOutcome(outcome, fence);
      if (!isOvertaken(outcome, fence)) return outcome;
    }
    return { kind: "not_sent" };
  }

  function handleOutcome<T>(outcome: OrderOutcome<T>, fence: number): void {
    switch (outcome.kind) {
      case "done": {
        const { clockMs } = outcome as { clockMs?: number };
        if (clockMs !== undefined) updateClockOffset(clockMs);
        return;
      }
      case "refused":
        lastResponseAtMs = clock.monotonicMs();
        // Once the link is closed, the worker's next process may know a higher token of this owner.
        if (
          outcome.reason === "fenced" && !closed && !isOvertaken(outcome, fence)
        ) events.onFenced(link);
        return;
      case "other_life":
        endLink();
        return;
      case "not_sent":
      case "unknown":
        return;
    }
  }

  function endLink(successorBornAtMs?: number): void {
    if (closed) return;
    closed = true;
    events.onInstanceEnded(link, successorBornAtMs);
  }

  /** Logs ends that no report has shown, without which a task may run again: something has acknowledged them. */
  function warnOfMissingEnds(ends: readonly EndedRunReport[]): void {
    // An earlier owner may have got the first ones.
    if (
      ends.length === 0 || (processedEndNumber === 0 && !life.isSuccessor)
    ) return;
    const firstNumber = Math.min(...ends.map(({ number }) => number));
    if (firstNumber <= processedEndNumber + 1) return;
    log.warn("ends of runs are missing from a worker's reports", {
      worker: worker.workerId,
      bornAtMs: worker.bornAtMs,
      from: processedEndNumber + 1,
      to: firstNumber - 1,
    });
  }

  function* pollOnce(): Operation<void> {
    const { endNumber: acknowledged, isForced } = yield* acknowledgeEnds();
    if (closed) return;
    const sentAtMs = clock.monotonicMs();
    // An unreachable worker is granted no further lease, so that the upper bound of its leases stays fixed.
    const leaseEndMs = failing ? undefined : nextLeaseEndMs();
    if (leaseEndMs !== undefined) extendLeaseBound();
    const times = pacing.next(link);
    const { fence } = life;
    const outcome = yield* until(control.renewAndPoll(worker, {
      fence,
      acknowledged,
      leaseEndMs,
      waitMs: leaseEndMs === undefined || isForced ? 0 : times.waitMs,
      responseTimeoutMs: times.responseTimeoutMs,
    }));
    if (closed) return;
    if (outcome.kind !== "done") {
      handleOutcome(outcome, fence);
      if (isOvertaken(outcome, fence)) return;
      if (!failing) {
        log.info("worker doesn't respond", {
          worker: worker.workerId,
          outcome: outcome.kind,
          sinceMs: Math.round(clock.monotonicMs() - lastResponseAtMs),
        });
        if (hasResponded) pacing.recordSilence(worker.workerId);
        // The next process may respond at this address before it registers.
        life.raiseFence();
      }
      failing = true;
      yield* pollWake.wait(pacing.failedPollPauseMs());
      return;
    }
    if (
      outcome.bornAtMs !== undefined && worker.bornAtMs !== 0 &&
      outcome.bornAtMs !== worker.bornAtMs
    ) {
      endLink(outcome.bornAtMs);
      return;
    }
    if (!hasReported) {
      hasReported = true;
      if (life.isSuccessor) logFirstReport(outcome);
    }
    updateClockOffset(outcome.clockMs);
    acknowledgedEndNumber = Math.max(acknowledgedEndNumber, acknowledged);
    const newlyEnded = outcome.ended.filter(({ number }) =>
      number > processedEndNumber
    );
    warnOfMissingEnds(newlyEnded);
    events.onReport(link, { ...outcome, ended: newlyEnded }, sentAtMs);
    const latest = Math.max(
      processedEndNumber,
      ...outcome.ended.map(({ number }) => number),
    );
    processedEndNumber = latest;
    if (latest > storedEndNumber) yield* waitForJournal(latest);
  }

  /** Chooses what the next poll acknowledges; waits a moment if starts at the worker have no answer. */
  function* acknowledgeEnds(): Operation<Acknowledgement> {
    if (failing || storedEndNumber === acknowledgedEndNumber) {
      return { endNumber: 0, isForced: false };
    }
    let isForced = false;
    if (!life.mayAcknowledge()) {
      // Ends that aren't acknowledged end a long poll at once.
      yield* life.startsEnded.wait(pacing.withheldPauseMs(worker.workerId));
      isForced = !life.mayAcknowledge();
      const withheldEnds = storedEndNumber - acknowledgedEndNumber;
      if (closed || (isForced && withheldEnds < MAXIMUM_WITHHELD_ENDS)) {
        return { endNumber: 0, isForced: false };
      }
    }
    life.beginAcknowledgement();
    return { endNumber: storedEndNumber, isForced };
  }

  /** Waits until ended runs are stored and may be acknowledged; the wait is limited so that leases don't expire while the store is unavailable. */
  function* waitForJournal(endNumber: number): Operation<void> {
    const stored = createNotifier();
    events.afterFlush(() => {
      storedEndNumber = Math.max(storedEndNumber, endNumber);
      stored.notify();
    });
    yield* stored.wait(JOURNAL_WAIT_MS);
  }

  const link: WorkerLink = {
    get registration() {
      return worker;
    },
    updateRegistration(next) {
      worker = next;
    },
    get hasResponded() {
      return hasResponded;
    },
    silentMs: () => failing ? clock.monotonicMs() - lastResponseAtMs : 0,
    get lastResponseAtMs() {
      return hasResponded ? lastResponseAtMs : undefined;
    },
    leasesExpired: () =>
      clock.monotonicMs() > Math.max(leaseBoundMs, earlierLeasesEndMs),
    unseenLeasesEndMs: () => life.extensionsEndMs() + MAXIMUM_LEASE_MS,
    start(order) {
      let attempt: StartAttempt;
      return sendOrder(() => {
        extendLeaseBound();
        attempt = life.beginStart();
        const { fence } = attempt;
        const leaseEndMs = nextLeaseEndMs() ?? 0;
        return {
          fence,
          response: control.start(worker, { ...order, fence, leaseEndMs }),
        };
      }, (outcome) => attempt.end(outcome.kind !== "unknown"));
    },
    stop: (taskId, run) =>
      sendOrder(() => {
        const { fence } = life;
        return {
          fence,
          response: control.stop(worker, { taskId, run, fence }),
        };
      }),
    throttle: (taskId, run, percent) =>
      sendOrder(() => {
        const { fence } = life;
        const order = { taskId, run, percent, fence };
        return { fence, response: control.throttle(worker, order) };
      }),
    async probe() {
      if (closed || failing) return;
      const outcome = await control.renewAndPoll(worker, {
        fence: life.fence,
        acknowledged: 0,
        leaseEndMs: undefined,
        waitMs: 0,
      });
      // The report is left to the polls, which are in order.
      if (
        !closed && outcome.kind === "done" &&
        outcome.bornAtMs === worker.bornAtMs
      ) updateClockOffset(outcome.clockMs);
    },
    pollNow: () => pollWake.notify(),
    needsFrequentPolls: false,
    mayHaveRuns: false,
    close() {
      closed = true;
      pollWake.notify();
    },
    *run() {
      while (!closed) {
        if (!events.mayOrder()) {
          yield* sleep(ORDER_CHECK_INTERVAL_MS);
          continue;
        }
        yield* pollOnce();
      }
    },
  };
  return link;
}
