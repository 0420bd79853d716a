import type { RunEvent } from "./blame.ts";
import { classKeyOf, type Job } from "./job.ts";
import type { FinishedNotice } from "./notices.ts";
import { JobDecisionLog } from "./job_decision_log.ts";
import { Profiles } from "./profiles.ts";
import type { Wait } from "./plan_shard.ts";
import type { Relief } from "./pressure.ts";
import { type Quarantined, quarantineWorker } from "./quarantine.ts";
import { parseTaskId } from "./task_id.ts";
import type { Held } from "./worker_view.ts";

/** Time for which finished runs are kept for blame, in ms. */
const EVENT_WINDOW_MS = 600_000;
/** Finished runs that are kept for blame at most. */
const MAXIMUM_EVENTS = 2_000;
/** Time for which preempted capacity is held for its urgent job, in ms. */
const HOLD_MS = 5_000;

/** Time for which another entry's start counts although no report shows it, in ms: the start, the lag and the interval of the reports. */
const UNSEEN_MS = 5_000;

/** Capacity held for an urgent job. */
export interface Hold extends Held {
  readonly untilMs: number;
}

/** What the dispatchers of one entry have learned. It only guides decisions, so it may be lost with the entry. */
export class SchedulerState {
  readonly profiles = new Profiles();
  readonly quarantined = new Map<string, Quarantined>();
  /** Last relief measure by worker. */
  readonly reliefs = new Map<string, Relief>();
  /** Held capacity by worker. */
  readonly holds = new Map<string, Hold>();
  /** Times at which workers were lost, by worker; with their rack. */
  readonly losses = new Map<string, { rack: string; atMs: number }>();
  /** Jobs of each shard that this entry owns. */
  readonly owned = new Map<number, ReadonlyMap<string, Job>>();
  /** Why jobs wait, for each shard that this entry owns. */
  readonly waits = new Map<number, ReadonlyMap<string, Wait>>();
  /** Recent decisions with their reasons. */
  readonly decisionLog = new JobDecisionLog();
  /** Tasks that other entries assigned in the last seconds, by task id. */
  readonly #starts = new Map<string, { vmId: string; untilMs: number }>();
  #events: RunEvent[] = [];

  /** Finished runs of the last minutes. */
  get events(): readonly RunEvent[] {
    return this.#events;
  }

  addEvent(event: RunEvent): void {
    this.#events = [...this.#events, event]
      .filter(({ atMs }) => event.atMs - atMs < EVENT_WINDOW_MS)
      .slice(-MAXIMUM_EVENTS);
    if (event.succeeded && this.quarantined.delete(event.vmId)) {
      this.decisionLog.add({
        atMs: event.atMs,
        kind: "released",
        vmId: event.vmId,
        summary: "a task succeeded on it, so it takes jobs again",
        facts: { jobClass: event.jobClass },
        rejected: [],
      });
    }
  }

  /** Notes a task that another entry assigned. */
  noteStart(start: { vmId: string; taskId: string }, nowMs: number): void {
    const { vmId, taskId } = start;
    this.#starts.set(taskId, { vmId, untilMs: nowMs + UNSEEN_MS });
    const started = parseTaskId(taskId);
    if (started !== undefined) this.endHold(started.jobId);
  }

  /** Returns tasks that other entries assigned and that reports may not show yet. */
  listUnseenStarts(nowMs: number): { vmId: string; taskId: string }[] {
    for (const [taskId, { untilMs }] of this.#starts) {
      if (untilMs <= nowMs) this.#starts.delete(taskId);
    }
    return [...this.#starts].map(([taskId, { vmId }]) => ({ vmId, taskId }));
  }

  /** Learns from a run that ended, here or at another entry. */
  learn(run: FinishedNotice, nowMs: number): void {
    const { vmId, succeeded, use, blame } = run;
    const jobClass = classKeyOf(run);
    this.addEvent({ vmId, jobClass, succeeded, atMs: nowMs });
    if (succeeded && use !== undefined && use.memoryMb > 0) {
      this.profiles.add(run, use);
    }
    const failedProbe = this.quarantined.has(vmId) &&
      blame?.kind === "undecided";
    if (blame?.kind === "worker" || failedProbe) this.blameWorker(run, nowMs);
  }

  /** Quarantines a worker for a run that failed there. */
  blameWorker(run: FinishedNotice, nowMs: number): void {
    const { vmId } = run;
    const known = this.quarantined.get(vmId);
    const quarantined = quarantineWorker(known, nowMs);
    if (quarantined === known) return;
    this.quarantined.set(vmId, quarantined);
    this.decisionLog.add(this.#describeQuarantine(run, nowMs));
  }

  /** Forgets what a shard's dispatcher knew, as after another entry took it over. */
  forgetShard(shard: number): void {
    this.owned.delete(shard);
    this.waits.delete(shard);
  }

  #describeQuarantine(run: FinishedNotice, nowMs: number) {
    const { vmId, jobId, pool, team, blame } = run;
    const { failures, probeAtMs } = this.quarantined.get(vmId)!;
    const here = this.#events.filter((event) => event.vmId === vmId);
    const failed = here.filter((event) => !event.succeeded);
    const jobClass = classKeyOf(run);
    const elsewhere = this.#events.filter((event) =>
      event.vmId !== vmId && event.succeeded && event.jobClass === jobClass
    );
    const isWorker = blame?.kind === "worker";
    const reason = isWorker ? blame.reason : "its probe failed";
    return {
      atMs: nowMs,
      kind: "quarantined" as const,
      jobId,
      vmId,
      pool,
      team,
      summary: `quarantined until ${
        new Date(probeAtMs).toISOString()
      }: ${reason}`,
      facts: {
        jobClass,
        quarantinesInRow: failures,
        probeAtMs,
        failedRunsHere: failed.length,
        failedClassesHere: new Set(failed.map((event) => event.jobClass)).size,
        succeededRunsHere: here.length - failed.length,
        sameClassSucceededElsewhere: elsewhere.length,
      },
      rejected: [
        isWorker
          ? { option: "blame the job", reason: "its class succeeds elsewhere" }
          : { option: "release the worker", reason: "its probe failed" },
      ],
    };
  }

  hold(vmId: string, held: Held, nowMs: number): void {
    this.holds.set(vmId, { ...held, untilMs: nowMs + HOLD_MS });
  }

  /** Ends the hold of a job that was assigned. */
  endHold(jobId: string): void {
    for (const [vmId, hold] of this.holds) {
      if (hold.jobId === jobId) this.holds.delete(vmId);
    }
  }

  /** Returns the hold on a worker unless it has lapsed. */
  heldOn(vmId: string, nowMs: number): Hold | undefined {
    const hold = this.holds.get(vmId);
    if (hold !== undefined && hold.untilMs <= nowMs) {
      this.holds.delete(vmId);
      return undefined;
    }
    return hold;
  }

  /** Workers of a rack that were lost in the last minutes. */
  lostInRack(rack: string, nowMs: number): number {
    return [...this.losses.values()].filter((loss) =>
      loss.rack === rack && nowMs - loss.atMs < EVENT_WINDOW_MS
    ).length;
  }
}
