import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { LEAVING_HEADER, REQUEST_ID_HEADER } from "../src/constants.ts";
import { listenOnLoopback, type RunningServer } from "./http_json_server.ts";

/** One request that the backend server ran. */
export interface JournalEntry {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly startedAtMs: number;
}

/** How a backend server stand-in behaves; a test may change it while it runs. */
export interface BackendBehaviour {
  /** Time that a request takes, in ms. */
  serviceTimeMs: number;
  /** Slots; more requests than this wait in the server. */
  slots: number;
  /** Adds the header by which a backend server announces that it is leaving. */
  leaving: boolean;
}

/** A backend server's stand-in: answers with JSON that names the request. */
export interface BackendServer extends RunningServer {
  readonly behaviour: BackendBehaviour;
  readonly journal: JournalEntry[];
}

/** Starts a backend server stand-in. `GET /.journal` returns the requests that it ran. */
export async function startBackendServer(
  name: string,
  options: Partial<BackendBehaviour> & { port?: number } = {},
): Promise<BackendServer> {
  const behaviour: BackendBehaviour = {
    serviceTimeMs: options.serviceTimeMs ?? 0,
    slots: options.slots ?? 8,
    leaving: options.leaving ?? false,
  };
  const journal: JournalEntry[] = [];
  const waiting: (() => void)[] = [];
  let running = 0;

  async function takeSlot(): Promise<void> {
    if (running >= behaviour.slots) {
      await new Promise<void>((resolve) => waiting.push(resolve));
    }
    running++;
  }

  function freeSlot(): void {
    running--;
    waiting.shift()?.();
  }

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === "/.journal") {
      response.end(JSON.stringify(journal));
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString("utf8");
    await takeSlot();
    const requestId = String(request.headers[REQUEST_ID_HEADER] ?? "");
    const path = request.url ?? "/";
    const method = request.method ?? "GET";
    journal.push({ requestId, method, path, body, startedAtMs: Date.now() });
    if (behaviour.serviceTimeMs > 0) await delay(behaviour.serviceTimeMs);
    freeSlot();
    response.writeHead(200, {
      "content-type": "application/json",
      ...(behaviour.leaving ? { [LEAVING_HEADER]: "true" } : {}),
      ...(requestId === "" ? {} : { [REQUEST_ID_HEADER]: requestId }),
    });
    response.end(JSON.stringify({ backend: name, method, path, body }));
  }

  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  return {
    ...await listenOnLoopback(server, options.port),
    behaviour,
    journal,
  };
}
