import type { RunEvent } from "./blame.ts";
import type { Job } from "./job.ts";
import { Profiles } from "./profiles.ts";
import type { Relief } from "./pressure.ts";
import { type Quarantined, quarantineWorker } from "./quarantine.ts";
import type { Held } from "./worker_view.ts";

/** Time for which finished runs are kept for blame, in ms. */
const EVENT_WINDOW_MS = 600_000;
/** Finished runs that are kept for blame at most. */
const MAXIMUM_EVENTS = 2_000;
/** Time for which preempted capacity is held for its urgent job, in ms. */
const HOLD_MS = 5_000;

/** Capacity held for an urgent job. */
export interface Hold extends Held {
  readonly untilMs: number;
}

/** What the dispatchers of one entry have learned. It only guides decisions, so it may be lost with the entry. */
export class JobMemory {
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
  #events: RunEvent[] = [];

  /** Finished runs of the last minutes. */
  get events(): readonly RunEvent[] {
    return this.#events;
  }

  addEvent(event: RunEvent): void {
    this.#events = [...this.#events, event]
      .filter(({ atMs }) => event.atMs - atMs < EVENT_WINDOW_MS)
      .slice(-MAXIMUM_EVENTS);
    if (event.succeeded) this.quarantined.delete(event.vmId);
  }

  blameWorker(vmId: string, nowMs: number): void {
    const known = this.quarantined.get(vmId);
    this.quarantined.set(vmId, quarantineWorker(known, nowMs));
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

  /** Whether capacity is already being freed for a job. */
  isHeldFor(jobId: string, nowMs: number): boolean {
    return [...this.holds.values()].some((hold) =>
      hold.jobId === jobId && hold.untilMs > nowMs
    );
  }

  /** Workers of a rack that were lost in the last minutes. */
  lostInRack(rack: string, nowMs: number): number {
    return [...this.losses.values()].filter((loss) =>
      loss.rack === rack && nowMs - loss.atMs < EVENT_WINDOW_MS
    ).length;
  }
}
