import { createServer, type Server, type ServerResponse } from "node:http";
import { App, type Request, type Response } from "@tinyhttp/app";
import { messageOf } from "../errors.ts";
import type { Logger } from "../logger.ts";
import { formatPrometheus } from "../metrics.ts";
import { createDumpReaders, type DumpOptions } from "./dump.ts";
import { readEntryMetrics } from "./entry_metrics.ts";

/** What the admin server works with. */
export interface AdminServerOptions extends DumpOptions {
  readonly log: Logger;
}

const JSON_TYPE = "application/json";
const PROMETHEUS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

type Answer = { status: number; type: string; body: string };

function json(status: number, value: unknown): Answer {
  return { status, type: JSON_TYPE, body: JSON.stringify(value) };
}

/** Creates the admin server: health, readiness, state dump, reasons of job decisions, and metrics. */
export function createAdminServer(options: AdminServerOptions): Server {
  const { state, supervisor, log } = options;
  const readers = createDumpReaders(options);

  function dump(search: string): Answer {
    const wanted = new URLSearchParams(search).getAll("part");
    const unknown = wanted.find((part) => !Object.hasOwn(readers, part));
    if (unknown !== undefined) {
      return json(400, {
        error: {
          kind: "unknown_part",
          part: unknown,
          parts: Object.keys(readers),
        },
      });
    }
    const parts = Object.entries(readers).filter(([part]) =>
      wanted.length === 0 || wanted.includes(part)
    );
    return json(
      200,
      Object.fromEntries(parts.map(([part, read]) => [part, read()])),
    );
  }

  function explainJobs(search: string): Answer {
    const query = new URLSearchParams(search);
    const [jobId, vmId] = [query.get("job"), query.get("vm")];
    if (jobId !== null) return json(200, options.jobs.explain({ jobId }));
    if (vmId !== null) return json(200, options.jobs.explain({ vmId }));
    return json(400, {
      error: { kind: "missing_query", names: ["job", "vm"] },
    });
  }

  function ready(): Answer {
    const reasons = state.unreadyReasons();
    return json(reasons.length === 0 ? 200 : 503, {
      ready: reasons.length === 0,
      reasons,
    });
  }

  // Parts that fail are restarted by the supervisor, so they don't make the process unhealthy.
  const health = () => json(200, { healthy: true, parts: supervisor.status() });

  const routes: Record<string, (search: string) => Answer> = {
    "/health": health,
    "/ready": ready,
    "/dump": dump,
    "/jobs": explainJobs,
    "/metrics": () => ({
      status: 200,
      type: PROMETHEUS_TYPE,
      body: formatPrometheus(readEntryMetrics(options)),
    }),
  };

  function answer(request: Request, read: (search: string) => Answer): Answer {
    try {
      return read(request.originalUrl.split("?")[1] ?? "");
    } catch (error) {
      const reason = messageOf(error);
      log.error("request failed", { url: request.originalUrl, reason });
      return json(500, { error: { kind: "internal", message: reason } });
    }
  }

  function send(response: Response, { status, type, body }: Answer): void {
    const raw = response as unknown as ServerResponse;
    raw.writeHead(status, {
      "content-type": type,
      "content-length": Buffer.byteLength(body),
    });
    raw.end(body);
  }

  const app = new App({
    settings: { xPoweredBy: false },
    applyExtensions: (_request, _response, next) => next?.(),
    noMatchHandler: (_request, response) =>
      send(
        response,
        json(404, { error: { kind: "not_found", paths: Object.keys(routes) } }),
      ),
  });
  for (const [path, read] of Object.entries(routes)) {
    app.get(path, (request, response) => send(response, answer(request, read)));
  }
  return createServer((request, response) =>
    void app.handler(request as Request, response as unknown as Response)
  );
}
