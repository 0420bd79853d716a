import { Client } from "undici";
import { HttpExchange, type HttpExchangeRequest } from "./exchange.ts";

/** Connect timeout, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Maximum size of a response's headers, in bytes. */
const MAXIMUM_RESPONSE_HEADER_BYTES = 65_536;

/** Pool of keep-alive connections to one server, each with at most one exchange in flight. */
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

  /** Sets the maximum number of open connections; connections in use stay open until their exchange ends. */
  setLimit(limit: number): void {
    this.#limit = limit;
    this.#closeExcessIdle();
  }

  /** Maximum number of open connections. */
  get limit(): number {
    return this.#limit;
  }

  /** Number of exchanges that can start now. */
  get available(): number {
    return this.#limit - this.#busy;
  }

  /** Starts one exchange; `remainingMs` returns the time left until the deadline. */
  send(
    request: HttpExchangeRequest,
    remainingMs: () => number,
  ): HttpExchange {
    // The connection that has been idle longest has finished the cleanup of its last exchange.
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

  /** Closes idle connections; those in use are closed after their exchange. */
  close(): void {
    this.#closed = true;
    this.#closeExcessIdle();
  }

  #open(): Client {
    return new Client(`http://${this.#address}`, {
      pipelining: 1,
      // Each exchange enforces its own deadline.
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
