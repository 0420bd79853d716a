import { createServer, type Server, type ServerResponse } from "node:http";
import { App, type Request, type Response } from "@tinyhttp/app";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { formatPrometheus } from "../metrics.ts";
import { createDumpReaders, type DumpOptions } from "./dump.ts";
import { readEntryMetrics } from "./entry_metrics.ts";

/** Dependencies of the admin server. */
export interface AdminServerOptions extends DumpOptions {
  readonly log: Logger;
}

const JSON_CONTENT_TYPE = "application/json";
const PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

type HttpReply = { status: number; type: string; body: string };

function jsonReply(status: number, value: unknown): HttpReply {
  return { status, type: JSON_CONTENT_TYPE, body: JSON.stringify(value) };
}

/**
 * Creates the admin server, which serves health, readiness, the state dump,
 * explanations of job decisions, and metrics.
 */
export function createAdminServer(options: AdminServerOptions): Server {
  const { state, supervisor, log } = options;
  const readers = createDumpReaders(options);

  function dump(search: string): HttpReply {
    const requested = new URLSearchParams(search).getAll("part");
    const unknown = requested.find((part) => !Object.hasOwn(readers, part));
    if (unknown !== undefined) {
      return jsonReply(400, {
        error: {
          kind: "unknown_part",
          part: unknown,
          parts: Object.keys(readers),
        },
      });
    }
    const parts = Object.entries(readers).filter(([part]) =>
      requested.length === 0 || requested.includes(part)
    );
    return jsonReply(
      200,
      Object.fromEntries(parts.map(([part, read]) => [part, read()])),
    );
  }

  function explainJobs(search: string): HttpReply {
    const query = new URLSearchParams(search);
    const [jobId, vmId] = [query.get("job"), query.get("vm")];
    if (jobId !== null) return jsonReply(200, options.jobs.explain({ jobId }));
    if (vmId !== null) return jsonReply(200, options.jobs.explain({ vmId }));
    return jsonReply(400, {
      error: { kind: "missing_query", names: ["job", "vm"] },
    });
  }

  function ready(): HttpReply {
    const reasons = state.unreadyReasons();
    return jsonReply(reasons.length === 0 ? 200 : 503, {
      ready: reasons.length === 0,
      reasons,
    });
  }

  // The supervisor restarts failed components, so they don't make the process unhealthy.
  const health = () =>
    jsonReply(200, { healthy: true, parts: supervisor.status() });

  const routes: Record<string, (search: string) => HttpReply> = {
    "/health": health,
    "/ready": ready,
    "/dump": dump,
    "/jobs": explainJobs,
    "/metrics": () => ({
      status: 200,
      type: PROMETHEUS_CONTENT_TYPE,
      body: formatPrometheus(readEntryMetrics(options)),
    }),
  };

  function handleRequest(
    request: Request,
    read: (search: string) => HttpReply,
  ): HttpReply {
    try {
      return read(request.originalUrl.split("?")[1] ?? "");
    } catch (error) {
      const reason = messageOf(error);
      log.error("request failed", { url: request.originalUrl, reason });
      return jsonReply(500, { error: { kind: "internal", message: reason } });
    }
  }

  function send(response: Response, { status, type, body }: HttpReply): void {
    const nodeResponse = response as unknown as ServerResponse;
    nodeResponse.writeHead(status, {
      "content-type": type,
      "content-length": Buffer.byteLength(body),
    });
    nodeResponse.end(body);
  }

  const app = new App({
    settings: { xPoweredBy: false },
    applyExtensions: (_request, _response, next) => next?.(),
    noMatchHandler: (_request, response) =>
      send(
        response,
        jsonReply(404, {
          error: { kind: "not_found", paths: Object.keys(routes) },
        }),
      ),
  });
  for (const [path, read] of Object.entries(routes)) {
    app.get(
      path,
      (request, response) => send(response, handleRequest(request, read)),
    );
  }
  return createServer((request, response) =>
    void app.handler(request as Request, response as unknown as Response)
  );
}
