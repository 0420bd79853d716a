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

/** One request that the backend server ran. */
export interface JournalEntry {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly startedAtMs: number;
}

/** One request whose header reached the backend server, whether it ran or not. */
export interface RequestArrival {
  readonly path: string;
  readonly atMs: number;
}

/** How a backend server stand-in behaves; a test may change it while it runs. */
export interface BackendBehaviour {
  /** Mean time that a request takes, in ms. */
  serviceTimeMs: number;
  distribution: "constant" | "exponential";
  /** Slots; more requests than this wait in the server. */
  slots: number;
  /** Adds the header by which a backend server announces that it is leaving. */
  leaving: boolean;
  faults: readonly FaultRate[];
  /** Off for long load runs, which would fill the memory. */
  journal: boolean;
}

/** Options of a backend server stand-in. */
export interface BackendServerOptions extends Partial<BackendBehaviour> {
  readonly port?: number;
  readonly seed?: number;
  /** Handles requests under `/v1/`, for an agent at the same port. */
  readonly agent?: RequestListener;
}

/** A backend server's stand-in: answers with JSON that names the request. */
export interface BackendServer extends RunningServer {
  readonly behaviour: BackendBehaviour;
  readonly journal: JournalEntry[];
  readonly arrivals: RequestArrival[];
  /** Requests being run or waiting for a slot. */
  inFlight(): number;
  /** Ends at once: resets all connections and refuses new ones. */
  crash(): Promise<void>;
  /** Listens again at the same port. */
  restart(): Promise<void>;
}

const RELISTEN_TIMEOUT_MS = 10_000;

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
      // A first part that surely leaves the process before the connection ends.
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

/** Starts a backend server stand-in. `GET /.journal` returns the requests that it ran. */
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
      // The slot is handed over by `freeSlot`, so `running` stays the same.
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
      // A request whose connection has ended meanwhile isn't run.
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
    // An unanswered request ends with its connection.
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
