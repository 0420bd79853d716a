import type { Client, Dispatcher } from "undici";
import { LEAVING_HEADER, REQUEST_ID_HEADER } from "../constants.ts";
import { messageOf } from "../errors.ts";
import { findHeader } from "./headers.ts";
import type {
  BufferedResponse,
  ResponseSink,
  ResponseSource,
  StreamedResponse,
  UnknownReason,
} from "./outcome.ts";
import {
  isComplete,
  matchesRequest,
  resolveFraming,
  type ResponseFraming,
} from "./response_check.ts";

/** Largest response body that is buffered and checked before it is forwarded, in bytes. */
export const MAXIMUM_BUFFERED_BODY_BYTES = 1_048_576;

/** A request to one server. */
export interface HttpExchangeRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Result of an exchange up to the start of a streamed response. */
export type ExchangeResult =
  | {
    readonly kind: "complete";
    readonly response: BufferedResponse;
    /** Whether the server announced that it is leaving. */
    readonly leaving: boolean;
  }
  | {
    readonly kind: "streaming";
    readonly response: StreamedResponse;
    /** Whether the server announced that it is leaving. */
    readonly leaving: boolean;
  }
  | {
    readonly kind: "failed";
    /** Whether any byte of the request may have been sent. */
    readonly sent: boolean;
    readonly reason: UnknownReason;
    readonly message: string;
  };

/** Connection, deadline and callback of an exchange. */
export interface ExchangeOptions {
  readonly client: Client;
  /** Whether the server has echoed a request id before. */
  readonly echoesIds: boolean;
  /** Returns the time left, in ms, by a clock that keeps advancing while the process is paused. */
  readonly remainingMs: () => number;
  /** Called after the last byte or a failure, before the promises resolve. */
  readonly onFinished: (end: ExchangeEnd) => void;
}

/** State of a connection after an exchange. */
export interface ExchangeEnd {
  /** Whether the connection may be used again. */
  readonly reusable: boolean;
  /** Whether the response carried the request's id. */
  readonly echoedId: boolean;
}

/** One HTTP exchange on a connection without other exchanges in flight. */
export class HttpExchange implements ResponseSource {
  readonly result: Promise<ExchangeResult>;
  readonly ended: Promise<boolean>;
  #resolveResult!: (result: ExchangeResult) => void;
  #resolveEnded!: (complete: boolean) => void;
  #request: HttpExchangeRequest;
  #options: ExchangeOptions;
  #controller: Dispatcher.DispatchController | undefined;
  #sent = false;
  #settled = false;
  #status = 0;
  #headers: string[] = [];
  #framing: ResponseFraming = { kind: "until_close" };
  #leaving = false;
  #hasEchoedId = false;
  #chunks: Buffer[] = [];
  #receivedBytes = 0;
  #sink: ResponseSink | undefined;
  #streaming = false;
  #timer: NodeJS.Timeout;

  constructor(request: HttpExchangeRequest, options: ExchangeOptions) {
    this.#request = request;
    this.#options = options;
    this.result = new Promise((resolve) => this.#resolveResult = resolve);
    this.ended = new Promise((resolve) => this.#resolveEnded = resolve);
    this.#timer = setTimeout(
      () => this.#onDeadline(),
      Math.max(0, options.remainingMs()),
    );
    this.#dispatch();
  }

  pipeTo(sink: ResponseSink): void {
    this.#sink = sink;
    for (const chunk of this.#chunks) sink.write(chunk);
    this.#chunks = [];
    if (this.#settled) {
      // The response has failed since its start.
      sink.abort();
    } else this.#controller?.resume();
  }

  resume(): void {
    this.#controller?.resume();
  }

  cancel(): void {
    this.#fail("connection_lost", "The caller closed its connection");
  }

  #dispatch(): void {
    const { requestId, method, path, headers, body } = this.#request;
    headers.push(REQUEST_ID_HEADER, requestId);
    try {
      this.#options.client.dispatch(
        {
          method: method as Dispatcher.HttpMethod,
          path,
          headers,
          body: body ?? null,
          // Retries are decided by the request runner; undici must never retry.
          idempotent: false,
        },
        {
          onRequestStart: (controller) => this.#onStart(controller),
          onResponseStart: (_controller, status) => this.#onHead(status),
          onResponseData: (_controller, chunk) => this.#onData(chunk),
          onResponseEnd: () => this.#onEnd(),
          onResponseError: (_controller, error) =>
            this.#fail("connection_lost", messageOf(error)),
        },
      );
    } catch (error) {
      this.#fail("internal", messageOf(error));
    }
  }

  /** Called immediately before the first byte is written. */
  #onStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#settled || this.#options.remainingMs() <= 0) {
      this.#fail("timeout", "The deadline passed before the request was sent");
      controller.abort(new Error("not sent"));
      return;
    }
    this.#sent = true;
  }

  #onHead(status: number): void {
    if (status < 200 || this.#settled) return;
    this.#status = status;
    const raw = this.#controller!.rawHeaders as unknown as Buffer[];
    this.#headers = raw.map((item) => item.toString("latin1"));
    const head = { status, headers: this.#headers };
    const { requestId, method } = this.#request;
    if (!matchesRequest(requestId, head, this.#options.echoesIds)) {
      return this.#fail("wrong_response", "The response has another id");
    }
    this.#hasEchoedId =
      findHeader(this.#headers, REQUEST_ID_HEADER) !== undefined;
    this.#leaving = findHeader(this.#headers, LEAVING_HEADER) === "true";
    this.#framing = resolveFraming(method, head);
    if (this.#framing.kind === "until_close") {
      return this.#fail(
        "unframed_response",
        "The response has no length, so that it can't be checked",
      );
    }
    if (
      this.#framing.kind === "length" &&
      this.#framing.bodyBytes > MAXIMUM_BUFFERED_BODY_BYTES
    ) this.#startStreaming();
  }

  #onData(chunk: Buffer): void {
    if (this.#settled) return;
    this.#receivedBytes += chunk.length;
    if (this.#sink !== undefined) {
      if (!this.#sink.write(chunk)) this.#controller?.pause();
      return;
    }
    this.#chunks.push(chunk);
    if (
      !this.#streaming && this.#receivedBytes > MAXIMUM_BUFFERED_BODY_BYTES
    ) this.#startStreaming();
    if (this.#streaming) this.#controller?.pause();
  }

  #startStreaming(): void {
    this.#streaming = true;
    this.#resolveResult({
      kind: "streaming",
      response: { status: this.#status, headers: this.#headers, source: this },
      leaving: this.#leaving,
    });
  }

  #onEnd(): void {
    if (this.#settled) return;
    if (!isComplete(this.#framing, this.#receivedBytes)) {
      return this.#fail("incomplete_response", "The response is truncated");
    }
    this.#finish(true);
    if (this.#streaming) {
      this.#sink?.end();
      return;
    }
    const body = this.#chunks.length === 1
      ? this.#chunks[0]!
      : Buffer.concat(this.#chunks);
    this.#resolveResult({
      kind: "complete",
      response: { status: this.#status, headers: this.#headers, body },
      leaving: this.#leaving,
    });
  }

  #finish(complete: boolean): void {
    this.#settled = true;
    clearTimeout(this.#timer);
    this.#options.onFinished({
      reusable: complete,
      echoedId: this.#hasEchoedId,
    });
    this.#resolveEnded(complete);
  }

  #onDeadline(): void {
    const remainingMs = this.#options.remainingMs();
    if (remainingMs > 0) {
      this.#timer = setTimeout(() => this.#onDeadline(), remainingMs);
      return;
    }
    this.#fail("timeout", "The deadline passed");
  }

  #fail(reason: UnknownReason, message: string): void {
    if (this.#settled) return;
    this.#finish(false);
    const truncated = reason === "connection_lost" && this.#status !== 0;
    this.#resolveResult({
      kind: "failed",
      sent: this.#sent,
      reason: truncated ? "incomplete_response" : reason,
      message,
    });
    this.#sink?.abort();
    this.#options.client.destroy().catch(() => {});
  }
}
