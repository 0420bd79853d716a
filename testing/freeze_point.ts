import { setTimeout as delay } from "node:timers/promises";

/** Side of a call on which an entry is frozen: before it is sent, or before its response is handled. */
export type CallSide = "request" | "response";

/**
 * Suspends the calls of one entry, like a pause of its process: once it has
 * frozen at a call, no call is sent and no response is handled until `resume`.
 * Can also delay the responses of single methods, like a slow link.
 */
export class FreezePoint {
  #place: string | undefined;
  #gate: Promise<void> | undefined;
  #openGate = () => {};
  #delaysMs = new Map<string, number>();
  #callCounts = new Map<string, number>();

  /** Delays the responses of a method. */
  slowDown(method: string, delayMs: number): void {
    this.#delaysMs.set(method, delayMs);
  }

  /** Returns the number of calls of a method so far. */
  countCalls(method: string): number {
    return this.#callCounts.get(method) ?? 0;
  }

  /** Whether the entry is frozen. */
  get isFrozen(): boolean {
    return this.#gate !== undefined;
  }

  /** Freezes at the next call of a method, such as `store.change`. */
  freezeAt(method: string, side: CallSide): void {
    this.#place = `${method} ${side}`;
  }

  /** Handles everything that was suspended; also cancels a freeze that hasn't happened. */
  resume(): void {
    this.#place = undefined;
    this.#gate = undefined;
    this.#openGate();
  }

  /** Returns a client whose calls pass the freeze point; `name` is the prefix of its methods. */
  wrap<T extends object>(name: string, client: T): T {
    return new Proxy(client, {
      get: (target, key) => {
        const member = Reflect.get(target, key);
        if (typeof member !== "function") return member;
        return (...args: unknown[]) =>
          this.#call(
            `${name}.${String(key)}`,
            () => member.apply(target, args),
          );
      },
    });
  }

  #call(method: string, send: () => unknown): unknown {
    this.#callCounts.set(method, this.countCalls(method) + 1);
    this.#freezeIfPlaced(method, "request");
    // A call that isn't suspended must be sent in the same turn.
    const result = this.#gate === undefined ? send() : this.#gate.then(send);
    if (!(result instanceof Promise)) return result;
    const pass = async () => {
      const delayMs = this.#delaysMs.get(method);
      if (delayMs !== undefined) await delay(delayMs);
      this.#freezeIfPlaced(method, "response");
      while (this.#gate !== undefined) await this.#gate;
    };
    return result.then(
      async (value) => (await pass(), value),
      async (error) => {
        await pass();
        throw error;
      },
    );
  }

  #freezeIfPlaced(method: string, side: CallSide): void {
    if (this.#place !== `${method} ${side}`) return;
    this.#place = undefined;
    this.#gate = new Promise((resolve) => this.#openGate = resolve);
  }
}
