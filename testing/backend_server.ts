import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type ServerResponse,
} from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { LEAVING_HEADER, REQUEST_ID_HEADER } from "../src/constants.ts";
import {
  type BackendFault,
  chooseFault,
  type FaultRate,
} from "./backend_faults.ts";
import { listenOnLoopback, type RunningServer } from "./http_json_server.ts";
import { createRandom, deriveSeed } from "./random.ts";
import { waitFor } from "./wait.ts";

/** A request that the backend server executed. */
export interface JournalEntry {
  /** Value of the request id header, or an empty string without one. */
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Wall-clock time at which the execution started, in ms. */
  readonly startedAtMs: number;
}

/** A request whose headers reached the backend server, whether or not it was executed. */
export interface RequestArrival {
  readonly path: string;
  /** Wall-clock time of the arrival, in ms. */
  readonly atMs: number;
}

/** Behaviour of a fake backend server; tests may change it while the server runs. */
export interface BackendBehaviour {
  /** Mean service time of a request, in ms. */
  serviceTimeMs: number;
  distribution: "constant" | "exponential";
  /** Number of requests executed concurrently; further requests wait in the server. */
  slots: number;
  /** Adds the header that announces that the backend server is leaving. */
  leaving: boolean;
  faults: readonly FaultRate[];
  /** Whether requests are recorded; turned off for long load tests, whose record would exhaust the memory. */
  journal: boolean;
}

/** Options for `startBackendServer`. */
export interface BackendServerOptions extends Partial<BackendBehaviour> {
  /** TCP port; a free one by default. */
  readonly port?: number;
  /** Seed of the random service times and faults; 1 by default. */
  readonly seed?: number;
  /** Handles requests under `/v1/`, for a worker agent on the same port. */
  readonly agent?: RequestListener;
}

/** A fake backend server that echoes each request as JSON. */
export interface BackendServer extends RunningServer {
  readonly behaviour: BackendBehaviour;
  /** Requests that the server executed, in start order. */
  readonly journal: JournalEntry[];
  /** Requests whose headers reached the server, in order of arrival. */
  readonly arrivals: RequestArrival[];
  /** Number of requests that are executing or waiting for a slot. */
  inFlight(): number;
  /** Stops immediately: resets all connections and refuses new ones. */
  crash(): Promise<void>;
  /** Listens on the same port again. */
  restart(): Promise<void>;
}

const RELISTEN_TIMEOUT_MS = 10_000;

/** Builds the JSON response body, padded by the number of bytes in the query parameter `bytes`. */
function responseBody(
  name: string,
  request: { method: string; path: string; body: string },
): string {
  const bytes = Number(
    new URL(request.path, "http://localhost").searchParams.get("bytes") ?? 0,
  );
  const padding = request.path.repeat(Math.ceil(bytes / request.path.length))
    .slice(0, bytes);
  return JSON.stringify({ backend: name, ...request, padding });
}

async function respondWithFault(
  response: ServerResponse,
  text: string,
  fault: BackendFault,
): Promise<void> {
  const socket = response.socket;
  switch (fault.kind) {
    case "slow":
      response.end(text);
      return;
    case "reset":
    case "truncated_body":
      // Waits until the first half is flushed, so that it is sent before the connection ends.
      if (fault.kind === "truncated_body" || fault.at === "half_body") {
        await new Promise<void>((resolve) =>
          response.write(text.slice(0, text.length / 2), () => resolve())
        );
      }
      if (fault.kind === "reset") socket?.resetAndDestroy();
      else socket?.end();
      return;
    case "extra_bytes":
      response.end(text, () =>
        socket?.write(
          'HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n{"path":"/other"}',
        ));
  }
}

/** Starts a fake backend server. `GET /.journal` returns the requests that it executed. */
export async function startBackendServer(
  name: string,
  options: BackendServerOptions = {},
): Promise<BackendServer> {
  const behaviour: BackendBehaviour = {
    serviceTimeMs: options.serviceTimeMs ?? 0,
    distribution: options.distribution ?? "constant",
    slots: options.slots ?? 8,
    leaving: options.leaving ?? false,
    faults: options.faults ?? [],
    journal: options.journal ?? true,
  };
  const random = createRandom(deriveSeed(options.seed ?? 1, name));
  const journal: JournalEntry[] = [];
  const arrivals: RequestArrival[] = [];
  const waiting: (() => void)[] = [];
  let running = 0;
  let inFlight = 0;

  async function acquireSlot(): Promise<void> {
    if (running >= behaviour.slots) {
      // `releaseSlot` passes its slot to this request, so `running` doesn't change.
      await new Promise<void>((resolve) => waiting.push(resolve));
      return;
    }
    running++;
  }

  function releaseSlot(): void {
    const next = waiting.shift();
    if (next === undefined) running--;
    else next();
  }

  async function runRequest(
    request: { method: string; path: string; body: string; requestId: string },
    fault: BackendFault | undefined,
  ): Promise<void> {
    if (behaviour.journal) {
      journal.push({ ...request, startedAtMs: Date.now() });
    }
    const timeMs = behaviour.distribution === "constant"
      ? behaviour.serviceTimeMs
      : random.exponential(behaviour.serviceTimeMs);
    const extraMs = fault?.kind === "slow" ? fault.extraMs : 0;
    if (timeMs + extraMs > 0) await delay(timeMs + extraMs);
  }

  async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? "/";
    const method = request.method ?? "GET";
    if (behaviour.journal) arrivals.push({ path, atMs: Date.now() });
    const fault = chooseFault(behaviour.faults, random);
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString("utf8");
    if (fault?.kind === "reset" && fault.at === "before_run") {
      response.socket?.resetAndDestroy();
      return;
    }
    const requestId = String(request.headers[REQUEST_ID_HEADER] ?? "");
    await acquireSlot();
    try {
      // Skips the request if its connection closed while it waited for a slot.
      if (response.destroyed) return;
      await runRequest({ method, path, body, requestId }, fault);
    } finally {
      releaseSlot();
    }
    const text = responseBody(name, { method, path, body });
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      ...(behaviour.leaving ? { [LEAVING_HEADER]: "true" } : {}),
      ...(requestId === "" ? {} : { [REQUEST_ID_HEADER]: requestId }),
    });
    if (fault === undefined) response.end(text);
    else await respondWithFault(response, text, fault);
  }

  const server = createServer((request, response) => {
    if (request.url === "/.journal") {
      response.end(JSON.stringify(journal));
      return;
    }
    if (options.agent && request.url?.startsWith("/v1/")) {
      options.agent(request, response);
      return;
    }
    inFlight++;
    // Also counts down for a request that gets no response: "close" fires when its connection ends.
    response.once("close", () => inFlight--);
    handleRequest(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  const listening = await listenOnLoopback(server, options.port);
  const port = Number(listening.address.split(":")[1]);

  async function listenAgain(): Promise<boolean> {
    server.listen(port, "127.0.0.1");
    try {
      await once(server, "listening");
      return true;
    } catch {
      return false;
    }
  }

  return {
    ...listening,
    behaviour,
    journal,
    arrivals,
    inFlight: () => inFlight,
    crash: () => listening.close(),
    restart: () =>
      server.listening ? Promise.resolve() : waitFor(
        `port ${port} is free again`,
        listenAgain,
        { timeoutMs: RELISTEN_TIMEOUT_MS },
      ),
  };
}
