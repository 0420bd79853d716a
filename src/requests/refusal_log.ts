/** A refused request, as shown in the dump. */
export interface RecentRefusal {
  /** Wall-clock time of the refusal, in ms. */
  readonly atMs: number;
  readonly requestId: string;
  readonly service: string;
  readonly reason: string;
  /** Inputs of the decision. */
  readonly details: Readonly<Record<string, unknown>> | undefined;
}

/** Maximum number of refusals that are listed. */
const MAXIMUM_REFUSALS = 50;

/** Keeps the most recent refusals. */
export class RefusalLog {
  #refusals: RecentRefusal[] = [];

  add(refusal: RecentRefusal): void {
    this.#refusals.push(refusal);
    if (this.#refusals.length > 2 * MAXIMUM_REFUSALS) {
      this.#refusals = this.#refusals.slice(-MAXIMUM_REFUSALS);
    }
  }

  /** Returns the most recent refusals, oldest first. */
  list(): RecentRefusal[] {
    return this.#refusals.slice(-MAXIMUM_REFUSALS);
  }
}
