import { Client } from "undici";
import { type ExchangeRequest, HttpExchange } from "./exchange.ts";

/** Time after which opening a connection counts as failed, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Largest response head, in bytes. */
const MAXIMUM_RESPONSE_HEADER_BYTES = 65_536;

/** Connections to one server; each has at most one exchange in flight. */
export class BackendConnections {
  #address: string;
  #idle: Client[] = [];
  #busy = 0;
  #limit: number;
  #closed = false;
  #echoesIds = false;

  constructor(address: string, limit: number) {
    this.#address = address;
    this.#limit = limit;
  }

  /** Sets how many connections may be open; connections in use stay until their exchange ends. */
  setLimit(limit: number): void {
    this.#limit = limit;
    this.#closeExcessIdle();
  }

  get limit(): number {
    return this.#limit;
  }

  get available(): number {
    return this.#limit - this.#busy;
  }

  /** Runs one exchange; `remainingMs` returns the time left until the deadline. */
  send(
    request: ExchangeRequest,
    remainingMs: () => number,
  ): HttpExchange {
    // The connection that has been idle longest needs no wait for its last exchange to be wound up.
    const client = this.#idle.shift() ?? this.#open();
    this.#busy++;
    return new HttpExchange(request, {
      client,
      echoesIds: this.#echoesIds,
      remainingMs,
      onFinished: ({ reusable, echoedId }) => {
        this.#busy--;
        if (echoedId) this.#echoesIds = true;
        if (reusable && !client.destroyed) this.#idle.push(client);
        this.#closeExcessIdle();
      },
    });
  }

  /** Closes idle connections; those in use close after their exchange. */
  close(): void {
    this.#closed = true;
    this.#closeExcessIdle();
  }

  #open(): Client {
    return new Client(`http://${this.#address}`, {
      pipelining: 1,
      // The exchange's own deadline replaces both timeouts.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAXIMUM_RESPONSE_HEADER_BYTES,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  #closeExcessIdle(): void {
    const allowed = this.#closed ? 0 : Math.max(0, this.#limit - this.#busy);
    while (this.#idle.length > allowed) {
      this.#idle.pop()!.destroy().catch(() => {});
    }
  }
}
