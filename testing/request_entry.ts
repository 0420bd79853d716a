import { once } from "node:events";
import { request as sendRequest } from "undici";
import { createServer, type Socket } from "node:net";
import { listenOnLoopback } from "./http_json_server.ts";
import { type Clock, systemClock } from "../src/clock.ts";
import { createContactTracker } from "../src/contact_tracker.ts";
import { silentLogger } from "../src/logger.ts";
import { createObservable, type MutableObservable } from "../src/observable.ts";
import type { EntryDigest } from "../src/peers/messages.ts";
import type { RequestHandlerOptions } from "../src/requests/request_handler.ts";
import {
  createRequestProxy,
  type RequestProxy,
} from "../src/requests/request_proxy.ts";
import { createTestSettings, type TestFleet } from "./request_fleet.ts";

/** A request as parsed by a raw TCP backend server. */
export interface RawRequest {
  readonly path: string;
  readonly requestId: string;
  /** Request line and headers. */
  readonly head: string;
  readonly body: string;
}

/** A backend server for which the test writes the bytes of each response. */
export interface RawBackend {
  /** `host:port`. */
  readonly address: string;
  /** Complete requests received so far, in order. */
  readonly requests: RawRequest[];
  /** Number of connections accepted so far. */
  connections: number;
  close(): void;
}

/** Starts a raw TCP backend server. */
export async function startRawBackend(
  respond: (socket: Socket, request: RawRequest) => void,
): Promise<RawBackend> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    backend.connections++;
    let input = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      input += chunk.toString("latin1");
      const headEnd = input.indexOf("\r\n\r\n");
      if (headEnd < 0) return;
      const head = input.slice(0, headEnd);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (input.length < headEnd + 4 + length) return;
      const request = {
        head,
        path: head.split(" ")[1] ?? "",
        requestId: /cowslipferry-request-id: (.*)/.exec(head)?.[1] ?? "",
        body: input.slice(headEnd + 4, headEnd + 4 + length),
      };
      input = input.slice(headEnd + 4 + length);
      backend.requests.push(request);
      respond(socket, request);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  const backend: RawBackend = {
    address: `127.0.0.1:${port}`,
    requests: [],
    connections: 0,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  return backend;
}

/** Builds a complete HTTP response with a `content-length` header; `headers` are lines that end with CRLF. */
export function rawResponse(body: string, headers = ""): string {
  return `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
}

/** Creates a clock that follows the system clock and that a test can advance. */
export function createFakeClock(): Clock & { advance(ms: number): void } {
  let offsetMs = 0;
  return {
    wallMs: () => systemClock.wallMs() + offsetMs,
    monotonicMs: () => systemClock.monotonicMs() + offsetMs,
    advance(ms) {
      offsetMs += ms;
    },
  };
}

/** A request proxy that listens on the loopback interface. */
export interface TestEntry {
  readonly id: string;
  /** `host:port` of the server for callers. */
  readonly address: string;
  readonly proxy: RequestProxy;
  readonly entries: MutableObservable<readonly EntryDigest[]>;
  close(): Promise<void>;
}

/** Options for `startTestEntry`. */
export interface TestEntryOptions {
  readonly id?: string;
  readonly fleet: TestFleet;
  readonly clock?: Clock;
  /** Overrides of the settings' limits. */
  readonly limits?: Record<string, number>;
  /** Whether the entry is isolated, that is, no platform service or peer has responded within the isolation limit. */
  readonly isolated?: () => boolean;
  /** Called when the first request arrives at an idle proxy. */
  readonly onActive?: () => void;
  /** API of the system itself; none by default. */
  readonly systemApi?: RequestHandlerOptions["systemApi"];
}

/** Starts a request proxy on a free port. */
export async function startTestEntry(
  options: TestEntryOptions,
): Promise<TestEntry> {
  const id = options.id ?? "entry-1";
  const clock = options.clock ?? systemClock;
  const entries = createObservable<readonly EntryDigest[]>([]);
  const proxy = createRequestProxy({
    settings: createTestSettings(id, options.limits),
    incarnation: `${id}-run`,
    ...options.fleet,
    entries,
    onActive: options.onActive ?? (() => {}),
    systemApi: options.systemApi,
    contacts: {
      ...createContactTracker(clock),
      isIsolated: options.isolated ?? (() => false),
    },
    clock,
    log: silentLogger,
  });
  const { address, close } = await listenOnLoopback(proxy.server);
  return { id, address, proxy, entries, close };
}

/** Creates the digest that an entry's peers receive. */
export function createEntryDigest(
  entry: TestEntry,
  changes: Partial<EntryDigest> = {},
): EntryDigest {
  return {
    entryId: entry.id,
    incarnation: `${entry.id}-run`,
    sequence: 1,
    region: "north",
    peerAddress: "127.0.0.1:1",
    callerAddress: entry.address,
    ready: true,
    stopping: false,
    configRevision: 1,
    fleetRevision: 1,
    ...entry.proxy.load(),
    ...changes,
  };
}

/** A response as a caller sees it. */
export interface CallerResponse {
  readonly status: number;
  /** Value of the outcome header, if there is one. */
  readonly outcome: string | undefined;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly text: string;
  /** Kind of the typed error, if the response contains one. */
  readonly error: string | undefined;
}

/** Sends a request; rejects if the response is incomplete. */
export async function call(
  entry: { readonly address: string },
  path: string,
  options: {
    readonly method?: string;
    readonly body?: string;
    readonly headers?: Record<string, string>;
  } = {},
): Promise<CallerResponse> {
  const response = await sendRequest(`http://${entry.address}${path}`, {
    method: (options.method ?? "GET") as "GET",
    body: options.body ?? null,
    headers: options.headers ?? {},
  });
  const text = await response.body.text();
  const outcome = response.headers["cowslipferry-outcome"] as string;
  return {
    status: response.statusCode,
    outcome,
    headers: response.headers,
    text,
    error: outcome === "answer" || text === ""
      ? undefined
      : JSON.parse(text).error.kind,
  };
}
