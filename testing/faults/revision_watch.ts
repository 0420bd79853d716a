import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import * as assert from "uvu/assert";
import type { EntryProcess } from "../deployment.ts";
import { waitFor } from "../wait.ts";

const POLL_TIMEOUT_MS = 500;

interface Sample {
  readonly revision: number;
  readonly atMs: number;
}

/** Polls the configuration revisions that entries report in their dumps. */
export class RevisionWatch {
  readonly #samples = new Map<string, Sample[]>();
  readonly #entries: readonly EntryProcess[];
  readonly #pollIntervalMs: number;
  #stopped = false;
  #polls: Promise<void>[] = [];

  constructor(
    entries: readonly EntryProcess[],
    options: { pollIntervalMs: number } = { pollIntervalMs: 5 },
  ) {
    this.#entries = entries;
    this.#pollIntervalMs = options.pollIntervalMs;
  }

  /** Starts polling all entries that aren't polled yet. */
  start(): void {
    for (const entry of this.#entries) {
      if (this.#samples.has(entry.id)) continue;
      this.#samples.set(entry.id, []);
      this.#polls.push(this.#poll(entry));
    }
  }

  async #poll(entry: EntryProcess): Promise<void> {
    while (!this.#stopped) {
      try {
        const { body } = await request(`http://${entry.adminAddress}/dump`, {
          signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
        });
        const dump = await body.json() as { config?: { revision: number } };
        const revision = dump.config?.revision ?? 0;
        this.#samples.get(entry.id)?.push({ revision, atMs: Date.now() });
      } catch {
        // A frozen entry doesn't respond; the next poll retries.
      }
      await delay(this.#pollIntervalMs);
    }
  }

  /** Returns the last revision that the entry reported, or 0 if it has reported none. */
  latest(entry: EntryProcess): number {
    return this.#samples.get(entry.id)?.at(-1)?.revision ?? 0;
  }

  /** Waits until all given entries have the revision; returns the Unix time in ms at which the last of them was first seen with it. */
  async waitForRevision(
    entries: readonly EntryProcess[],
    revision: number,
  ): Promise<number> {
    this.start();
    await waitFor(
      `revision ${revision} is in force at ${entries.map(({ id }) => id)}`,
      () => entries.every((entry) => this.latest(entry) >= revision),
    );
    return Math.max(
      ...entries.map((entry) =>
        this.#samples.get(entry.id)?.find((sample) =>
          sample.revision >= revision
        )?.atMs ?? 0
      ),
    );
  }

  /** Stops polling; fails if an entry went back to an older revision. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#polls);
    for (const [id, samples] of this.#samples) {
      const revisions = samples.map((sample) => sample.revision);
      const sorted = revisions.toSorted((x, y) => x - y);
      assert.equal(revisions, sorted, `${id} went back to an older revision`);
    }
  }
}
