import { type Operation, race, sleep, until } from "effection";
import type { Clock } from "../clock.ts";
import type { Logger } from "../logger.ts";
import { createWake, type Wake } from "../wake.ts";
import type {
  OrderOutcome,
  StartOrder,
  WorkerControl,
  WorkerRegistration,
  WorkerReport,
} from "./ports.ts";

/** Lease of all runs on a worker, in ms: longer than a change of owner takes (the owner's lease of 2 s, reading the records, the first call), shorter than the platform's limit of 10 s so that a silent worker's tasks are free again. */
export const RUN_LEASE_MS = 7_000;
/** A worker's clock may be 2% slow, so that a lease lasts longer than it says. */
const CLOCK_RATE_FACTOR = 1.03;
/** Added to the end of a lease before its runs are taken as over, in ms. */
const LEASE_MARGIN_MS = 400;
/** How long a call waits for an end on a worker that runs tasks, in ms; bounds how late a silent worker is noticed. */
const ACTIVE_POLL_WAIT_MS = 900;
/** The same on an idle worker, in ms. */
const IDLE_POLL_WAIT_MS = 2_000;
/** Interval of calls while serving tasks must be watched, in ms. */
const FREQUENT_POLL_WAIT_MS = 350;
/** Pause after a failed call, in ms. */
const FAILED_CALL_PAUSE_MS = 150;
/** Longest wait for the journal before the leases are renewed without acknowledging, in ms. */
const JOURNAL_WAIT_MS = 700;

/** What a link reports to the scheduler. */
export interface WorkerLinkEvents {
  /** A report of this life; `sentAtMs` is the monotonic time at which it was asked for. */
  onReport(link: WorkerLink, report: WorkerReport, sentAtMs: number): void;
  /** Another life answers under the worker's id, or none does any more. */
  onGone(link: WorkerLink, reason: string): void;
  /** A newer owner has raised the worker's fence. */
  onFenced(link: WorkerLink): void;
  /** Runs the callback once all records so far are stored. */
  afterFlush(callback: () => void): void;
  /** Whether the owner may still give orders. */
  mayOrder(): boolean;
}

/** The owner's connection to one life of a worker. */
export interface WorkerLink {
  readonly entry: WorkerRegistration;
  updateEntry(entry: WorkerRegistration): void;
  /** Whether the worker has answered a call of this owner. */
  readonly hasAnswered: boolean;
  /** Time since the last answer, in ms; 0 while answers come. */
  silentMs(): number;
  /** Whether every lease that a call may have granted has run out. */
  leasesExpired(): boolean;
  start(order: Omit<StartOrder, "leaseEndMs">): Promise<OrderOutcome>;
  stop(taskId: string, run: number): Promise<OrderOutcome>;
  pace(taskId: string, run: number, percent: number): Promise<OrderOutcome>;
  /** Reads the lists again at once. */
  pollNow(): void;
  /** Runs that the worker should be asked about often, such as serving tasks. */
  needsFrequentPolls: boolean;
  /** Whether anything may run on the worker. */
  mayHaveRuns: boolean;
  /** Ends the link; its tasks have been taken as over. */
  close(): void;
  run(): Operation<void>;
}

/** What a link is made of. */
export interface WorkerLinkOptions {
  readonly entry: WorkerRegistration;
  readonly fence: number;
  readonly control: WorkerControl;
  readonly clock: Clock;
  readonly log: Logger;
  readonly events: WorkerLinkEvents;
  /** Monotonic time until which leases of earlier owners may last, in ms. */
  readonly earlierLeasesEndMs: number;
}

/** Creates the link to one life of a worker. */
export function createWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { fence, control, clock, log, events } = options;
  let entry = options.entry;
  let processedEndNumber = 0;
  let storedEndNumber = 0;
  let clockOffsetMs: number | undefined;
  let confirmed = false;
  let lastAnswerAtMs = clock.monotonicMs();
  let failing = false;
  let leaseBoundMs = options.earlierLeasesEndMs;
  let gone = false;
  const poke: Wake = createWake();

  function updateClockOffset(clockMs: number): void {
    // The worker read its clock before the answer arrived, so that this offset never makes a lease longer than meant.
    clockOffsetMs = clockMs - clock.monotonicMs();
    if (failing) log.info("worker answers again", { worker: entry.workerId });
    failing = false;
    confirmed = true;
    lastAnswerAtMs = clock.monotonicMs();
  }

  /** End of the leases if the next call renews them, on the worker's clock; undefined while the clock isn't known. */
  function nextLeaseEndMs(): number | undefined {
    return clockOffsetMs === undefined
      ? undefined
      : Math.floor(clock.monotonicMs() + clockOffsetMs + RUN_LEASE_MS);
  }

  /** Notes that a call may grant leases until the bound, whether it is answered or not. */
  function extendLeaseBound(): void {
    leaseBoundMs = Math.max(
      leaseBoundMs,
      clock.monotonicMs() + RUN_LEASE_MS * CLOCK_RATE_FACTOR + LEASE_MARGIN_MS,
    );
  }

  function handleOutcome<T>(outcome: OrderOutcome<T>): void {
    switch (outcome.kind) {
      case "done": {
        const { clockMs } = outcome as { clockMs?: number };
        if (clockMs !== undefined) updateClockOffset(clockMs);
        return;
      }
      case "refused":
        lastAnswerAtMs = clock.monotonicMs();
        if (outcome.reason === "fenced") events.onFenced(link);
        return;
      case "other_life":
        endLink("another life answers under its id");
        return;
      case "not_sent":
      case "unknown":
        return;
    }
  }

  function endLink(reason: string): void {
    if (gone) return;
    gone = true;
    events.onGone(link, reason);
  }

  function* pollOnce(): Operation<void> {
    const sentAtMs = clock.monotonicMs();
    // A worker that may not answer gets no further lease, so that the end of the last one stays known.
    const leaseEndMs = failing ? undefined : nextLeaseEndMs();
    if (leaseEndMs !== undefined) extendLeaseBound();
    const waitMs = leaseEndMs === undefined
      ? 0
      : link.needsFrequentPolls
      ? FREQUENT_POLL_WAIT_MS
      : link.mayHaveRuns
      ? ACTIVE_POLL_WAIT_MS
      : IDLE_POLL_WAIT_MS;
    const outcome = yield* until(control.renewAndPoll(entry, {
      fence,
      acknowledged: storedEndNumber,
      leaseEndMs,
      waitMs,
    }));
    if (gone) return;
    if (outcome.kind !== "done") {
      handleOutcome(outcome);
      if (!failing) {
        log.info("worker doesn't answer", {
          worker: entry.workerId,
          outcome: outcome.kind,
          sinceMs: Math.round(clock.monotonicMs() - lastAnswerAtMs),
        });
      }
      failing = true;
      yield* race([
        sleep(FAILED_CALL_PAUSE_MS),
        poke.wait(FAILED_CALL_PAUSE_MS),
      ]);
      return;
    }
    if (
      outcome.bornAtMs !== undefined && entry.bornAtMs !== 0 &&
      outcome.bornAtMs !== entry.bornAtMs
    ) {
      endLink("another life answers under its id");
      return;
    }
    updateClockOffset(outcome.clockMs);
    const fresh = outcome.ended.filter(({ number }) =>
      number > processedEndNumber
    );
    events.onReport(link, { ...outcome, ended: fresh }, sentAtMs);
    const latest = Math.max(
      processedEndNumber,
      ...outcome.ended.map(({ number }) => number),
    );
    processedEndNumber = latest;
    if (latest > storedEndNumber) yield* waitForJournal(latest);
  }

  /** Ends are acknowledged once they are stored; a store that is away must not let the leases lapse. */
  function* waitForJournal(endNumber: number): Operation<void> {
    const stored = createWake();
    events.afterFlush(() => {
      storedEndNumber = Math.max(storedEndNumber, endNumber);
      stored.notify();
    });
    yield* stored.wait(JOURNAL_WAIT_MS);
  }

  const link: WorkerLink = {
    get entry() {
      return entry;
    },
    updateEntry(next) {
      entry = next;
    },
    get hasAnswered() {
      return confirmed;
    },
    silentMs: () => failing ? clock.monotonicMs() - lastAnswerAtMs : 0,
    leasesExpired: () => clock.monotonicMs() > leaseBoundMs,
    async start(order) {
      extendLeaseBound();
      const outcome = await control.start(entry, {
        ...order,
        leaseEndMs: nextLeaseEndMs() ?? 0,
      });
      handleOutcome(outcome);
      return outcome;
    },
    async stop(taskId, run) {
      const outcome = await control.stop(entry, { taskId, run, fence });
      handleOutcome(outcome);
      return outcome;
    },
    async pace(taskId, run, percent) {
      const outcome = await control.setPace(entry, {
        taskId,
        run,
        percent,
        fence,
      });
      handleOutcome(outcome);
      return outcome;
    },
    pollNow: () => poke.notify(),
    needsFrequentPolls: false,
    mayHaveRuns: false,
    close() {
      gone = true;
      poke.notify();
    },
    *run() {
      while (!gone) {
        if (!events.mayOrder()) {
          yield* sleep(FAILED_CALL_PAUSE_MS);
          continue;
        }
        yield* pollOnce();
      }
    },
  };
  return link;
}
