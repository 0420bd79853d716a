import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { Clock } from "../clock.ts";
import type { ConnectionBudget, EvictionReason } from "./connection_budget.ts";
import type { BlockPool } from "./block_pool.ts";
import { ByteQueue } from "./byte_queue.ts";
import type { TurnQueue } from "./turn_queue.ts";

/** Limits of a single connection. */
export interface GuardedConnectionOptions {
  readonly budget: ConnectionBudget;
  /** Returns the number of bytes that a caller may send ahead of the response to its current request. */
  readonly maximumAheadBytes: () => number;
  /** Memory occupied by a byte of a body while it is received. */
  readonly bodyCostFactor: number;
  readonly clock: Clock;
  readonly turns: TurnQueue;
}

/** Memory of an open connection without a request, in bytes. */
const CONNECTION_COST_BYTES = 10_240;
/** Memory of a request besides its head and body, in bytes. */
const REQUEST_COST_BYTES = 8_192;
/** Memory of a name or value in a parsed head besides its bytes, in bytes. */
const HEADER_STRING_COST_BYTES = 80;
/** Memory occupied by a byte of a request head that is being parsed. */
const HEAD_COST_FACTOR = 8;
/** Time within which a caller must read more of a response that it hasn't read, in ms. */
const SLOW_READER_TIMEOUT_MS = 30_000;
/**
 * Time for which a refused connection is kept open, in ms, so that the caller
 * isn't reset before it has read the refusal. Its input is discarded.
 */
const REFUSED_CLOSE_MS = 1_000;
/** Input of a refused connection that is discarded before the connection is closed, in bytes. */
const REFUSED_INPUT_BYTES = 65_536;
const HEAD_END = "\r\n\r\n";
/** Largest piece of input that is parsed in one turn, in bytes; it may contain thousands of chunks. */
const MAXIMUM_PIECE_BYTES = 16_384;

/** A request without a complete response. */
interface OpenRequest {
  readonly request: IncomingMessage;
  /** Memory of the request without its body, in bytes. */
  readonly costBytes: number;
}

/** Arrival time of the input up to an offset. */
interface ArrivalMark {
  readonly endOffset: number;
  /** In monotonic ms. */
  readonly atMs: number;
}

/** Shortest time between two arrival marks, in ms. */
const ARRIVAL_PRECISION_MS = 10;

/**
 * A caller's connection between its socket and Node's HTTP server. Its socket is
 * read ahead, because the bytes that a paused socket has received occupy memory
 * as well; only the rest of a large body waits for its reader. The HTTP parser gets at most one request at a time: what the caller
 * sends ahead is held as bytes, which occupy far less memory than parsed requests.
 */
export class GuardedConnection extends Duplex {
  /** Refuses the request whose body is being read; undefined while none is. */
  refuseBody: (() => void) | undefined;
  /** Whether the input that is being parsed arrived before the response to the request before it was complete. */
  isParsingHeldInput = false;
  /** Arrival time of the request that was parsed last, in monotonic ms. */
  requestArrivedAtMs: number;
  #socket: Socket;
  #options: GuardedConnectionOptions;
  /** Input that the HTTP parser hasn't got yet. */
  #held: ByteQueue;
  #arrivals: ArrivalMark[] = [];
  /** Numbers of bytes received and passed to the parser since the connection was opened. */
  #receivedBytes = 0;
  #fedBytes = 0;
  /** Requests without a complete response, in the order of their arrival. */
  #requests: OpenRequest[] = [];
  /** Rest of a body of known length. */
  #bodyBytesLeft = 0;
  #headBytes = 0;
  #bodyBytes = 0;
  #unsentBytes = 0;
  #isFeeding = false;
  /** Whether the next step is the caller's. */
  #isWaiting = false;
  #isDiscarding = false;
  #discardedBytes = 0;
  #parserWantsInput = true;
  #slowReaderTimer: NodeJS.Timeout | undefined;

  constructor(socket: Socket, options: GuardedConnectionOptions) {
    super({ allowHalfOpen: true, decodeStrings: false });
    this.#socket = socket;
    this.#options = options;
    this.#held = new ByteQueue(options.budget.blocks);
    this.requestArrivedAtMs = options.clock.monotonicMs();
    socket.on("data", (chunk) => this.#receive(chunk));
    socket.on("end", () => this.#endInput());
    socket.on("error", (error) => this.destroy(error));
    socket.on("close", () => this.destroy());
    socket.on("timeout", () => this.emit("timeout"));
    this.on("resume", () => this.#requestTurn());
    options.budget.add(this);
    this.#updateCost();
    // A request that had arrived by now is read before the event loop's second check phase.
    setImmediate(() => setImmediate(() => this.#updateWaiting()));
  }

  /** Blocks for the bodies of the connection's requests. */
  get blocks(): BlockPool {
    return this.#options.budget.blocks;
  }

  /** Number of bytes received. */
  get bytesRead(): number {
    return this.#socket.bytesRead;
  }

  /** IP address of the caller. */
  get remoteAddress(): string | undefined {
    return this.#socket.remoteAddress;
  }

  /** Emits `timeout` after a period without activity, in ms; 0 disables it. */
  setTimeout(timeoutMs: number, onTimeout?: () => void): this {
    this.#socket.setTimeout(timeoutMs);
    if (onTimeout !== undefined) this.once("timeout", onTimeout);
    return this;
  }

  /** Closes the connection after its pending output has been sent. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once("finish", () => this.destroy());
  }

  /** Resets the connection, which a caller can't mistake for a regular end. */
  resetAndDestroy(): void {
    this.#socket.resetAndDestroy();
    this.destroy();
  }

  /** Tracks a parsed request until its response is closed. */
  trackRequest(request: IncomingMessage, response: ServerResponse): void {
    const openRequest: OpenRequest = {
      request,
      costBytes: REQUEST_COST_BYTES + 2 * this.#headBytes +
        request.rawHeaders.length * HEADER_STRING_COST_BYTES,
    };
    this.#requests.push(openRequest);
    this.requestArrivedAtMs = this.#findArrivalMs(this.#fedBytes - 1);
    this.#headBytes = 0;
    this.#bodyBytes = 0;
    this.#bodyBytesLeft = request.headers["transfer-encoding"] === undefined
      ? Number(request.headers["content-length"] ?? 0) || 0
      : 0;
    // A body is passed on only to its reader, because Node would queue an object for each of its chunks.
    request.on("resume", () => this.#requestTurn());
    response.once("close", () => {
      this.#requests.splice(this.#requests.indexOf(openRequest), 1);
      // Discards the rest of the body chunk by chunk.
      if (!request.complete) request.on("data", () => {});
      // A complete response starts a new wait for the caller.
      this.#isWaiting = false;
      this.releaseBody();
      this.#updateWaiting();
      this.#requestTurn();
    });
  }

  /** Stops counting the body of the current request, which its reader has dropped or counts itself. */
  releaseBody(): void {
    this.#bodyBytes = 0;
    this.#updateCost();
  }

  /** Frees the memory of the connection; a request whose body is being read is refused first. */
  refuse(): void {
    const { refuseBody } = this;
    if (refuseBody === undefined) {
      this.destroy();
      return;
    }
    this.#isDiscarding = true;
    this.#held.clear();
    this.#headBytes = 0;
    this.#bodyBytes = 0;
    this.#updateCost();
    const timer = setTimeout(() => this.destroy(), REFUSED_CLOSE_MS);
    this.once("close", () => clearTimeout(timer));
    refuseBody();
  }

  override _read(): void {
    this.#parserWantsInput = true;
    this.#requestTurn();
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    const unsentBytes = chunk.length;
    if (
      !this.#socket.write(chunk, encoding, (error) => {
        this.#onSent();
        callback(error);
      })
    ) this.#onBlocked(unsentBytes);
  }

  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    callback: (error?: Error | null) => void,
  ): void {
    const last = chunks.at(-1)!;
    let unsentBytes = 0;
    this.#socket.cork();
    for (const { chunk, encoding } of chunks.slice(0, -1)) {
      unsentBytes += chunk.length;
      this.#socket.write(chunk, encoding);
    }
    this._write(last.chunk, last.encoding, callback);
    this.#socket.uncork();
    if (this.#socket.writableNeedDrain) {
      this.#onBlocked(unsentBytes + last.chunk.length);
    }
  }

  override _final(callback: (error?: Error | null) => void): void {
    this.#socket.end(() => callback());
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    clearTimeout(this.#slowReaderTimer);
    this.#held.clear();
    this.#options.turns.remove(this.#takeTurn);
    this.#options.budget.remove(this);
    this.#socket.destroy();
    callback(error);
  }

  #receive(chunk: Buffer): void {
    if (this.destroyed) return;
    this.#receivedBytes += chunk.length;
    if (this.#isDiscarding) {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > REFUSED_INPUT_BYTES) this.destroy();
      return;
    }
    const fedBytes = this.#held.length === 0 ? this.#feed(chunk) : 0;
    if (this.#isDiscarding || this.destroyed) return;
    if (fedBytes < chunk.length) {
      this.#markArrival();
      this.#held.append(chunk.subarray(fedBytes));
      if (this.#isTooFarAhead()) {
        if (this.#hasCompleteRequest()) {
          this.#evict("pipelining");
          return;
        }
        // It may be the body of the current request, which isn't read or refused yet.
        this.#socket.pause();
      }
      this.#requestTurn();
    }
    this.#updateCost();
  }

  #endInput(): void {
    this.#isDiscarding = true;
    this.#held.clear();
    this.push(null);
  }

  #evict(reason: EvictionReason): void {
    this.#options.budget.recordEviction(reason);
    this.destroy();
  }

  /** Whether the parser may get more input: it has no request, or one whose body is being read. */
  #canFeed(): boolean {
    if (
      this.#isDiscarding || !this.#parserWantsInput || this.isPaused() ||
      this.destroyed
    ) return false;
    const [current, next] = this.#requests;
    if (current === undefined) return true;
    const { request } = current;
    return next === undefined && !request.complete &&
      request.readableFlowing === true && request.listenerCount("data") > 0;
  }

  /** Whether the caller has sent too much ahead; input that the parser can take isn't ahead. */
  #isTooFarAhead(): boolean {
    return this.#held.length > this.#options.maximumAheadBytes() &&
      !this.#canFeed();
  }

  /** Whether the current request has been parsed completely, so that further input belongs to the next one. */
  #hasCompleteRequest(): boolean {
    return this.#requests[0]?.request.complete ?? false;
  }

  #requestTurn(): void {
    if (this.#held.length > 0 && this.#canFeed()) {
      this.#options.turns.add(this.#takeTurn);
    }
  }

  /** Passes the next piece of held input to the parser. */
  #takeTurn = () => {
    if (this.#held.length === 0) return;
    this.isParsingHeldInput = true;
    const held = this.#held.peek();
    const pieceBytes = this.#findPieceEnd(held);
    // Copied, because the parser's streams may queue the piece after its block is used again.
    this.#held.consume(this.#feed(Buffer.from(held.subarray(0, pieceBytes))));
    this.isParsingHeldInput = false;
    if (this.#held.length === 0) this.#arrivals = [];
    if (this.destroyed) return;
    if (!this.#isTooFarAhead()) this.#socket.resume();
    else if (this.#hasCompleteRequest()) {
      this.#evict("pipelining");
      return;
    }
    this.#updateCost();
    this.#requestTurn();
  };

  /** Passes a piece of input to the parser if it can take one; returns the number of bytes passed. */
  #feed(input: Buffer): number {
    if (this.#isFeeding || !this.#canFeed()) return 0;
    this.#isFeeding = true;
    const pieceBytes = this.#findPieceEnd(input);
    this.#fedBytes += pieceBytes;
    if (this.#requests.length === 0) this.#headBytes += pieceBytes;
    else this.#bodyBytes += pieceBytes;
    this.#bodyBytesLeft = Math.max(0, this.#bodyBytesLeft - pieceBytes);
    this.#parserWantsInput = this.push(input.subarray(0, pieceBytes));
    this.#isFeeding = false;
    this.#updateWaiting();
    return pieceBytes;
  }

  /** Returns the end of the next piece, which completes at most one request head. */
  #findPieceEnd(input: Buffer): number {
    const maximumBytes = Math.min(input.length, MAXIMUM_PIECE_BYTES);
    if (this.#bodyBytesLeft > 0) {
      return Math.min(maximumBytes, this.#bodyBytesLeft);
    }
    const headEnd = input.indexOf(HEAD_END, 0, "latin1");
    return headEnd < 0
      ? maximumBytes
      : Math.min(maximumBytes, headEnd + HEAD_END.length);
  }

  #markArrival(): void {
    const atMs = this.#options.clock.monotonicMs();
    const last = this.#arrivals.at(-1);
    if (last !== undefined && atMs - last.atMs < ARRIVAL_PRECISION_MS) {
      this.#arrivals.pop();
      this.#arrivals.push({ endOffset: this.#receivedBytes, atMs: last.atMs });
    } else this.#arrivals.push({ endOffset: this.#receivedBytes, atMs });
  }

  /** Returns the arrival time of the byte at an offset, in monotonic ms; forgets those of earlier bytes. */
  #findArrivalMs(offset: number): number {
    while (
      this.#arrivals.length > 0 && this.#arrivals[0]!.endOffset <= offset
    ) this.#arrivals.shift();
    return this.#arrivals[0]?.atMs ?? this.#options.clock.monotonicMs();
  }

  /** Whether the next step is the caller's: to send a request or the rest of one, or to read a response. */
  #isCallersTurn(): boolean {
    const [current] = this.#requests;
    return current === undefined || !current.request.complete ||
      this.#unsentBytes > 0;
  }

  #updateWaiting(): void {
    const isWaiting = this.#isCallersTurn();
    if (isWaiting === this.#isWaiting) return;
    this.#isWaiting = isWaiting;
    this.#options.budget.setWaiting(this, isWaiting);
  }

  #updateCost(): void {
    const { budget, bodyCostFactor } = this.#options;
    const requestBytes = this.#requests.reduce(
      (sum, { costBytes }) => sum + costBytes,
      this.#bodyBytes * bodyCostFactor,
    );
    budget.setCost(
      this,
      CONNECTION_COST_BYTES + requestBytes + this.#held.capacityBytes +
        this.#headBytes * HEAD_COST_FACTOR + this.#unsentBytes,
    );
  }

  /** Called when the caller's window is full. */
  #onBlocked(unsentBytes: number): void {
    this.#unsentBytes = unsentBytes;
    this.#slowReaderTimer ??= setTimeout(
      () => this.#evict("slow_reader"),
      SLOW_READER_TIMEOUT_MS,
    );
    this.#updateWaiting();
    this.#updateCost();
  }

  #onSent(): void {
    if (this.#unsentBytes === 0) return;
    this.#unsentBytes = 0;
    clearTimeout(this.#slowReaderTimer);
    this.#slowReaderTimer = undefined;
    this.#updateWaiting();
    this.#updateCost();
  }
}
