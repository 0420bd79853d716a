import { createServer, type Server } from "node:http";
import { App, type Request, type Response } from "@tinyhttp/app";
import { request as sendRequest } from "undici";
import type { AppliedConfig } from "../config/schema.ts";
import { OUTCOME_HEADER } from "../constants.ts";
import { messageOf } from "../errors.ts";
import type { FleetRecord } from "../fleet/record.ts";
import type { Logger } from "../logger.ts";
import type { Observable } from "../observable.ts";
import { isNotSent } from "../platform/http_json.ts";
import type { VmListSnapshot } from "../platform/vm_list_poller.ts";
import { type Instance, resolvePoolMap } from "./pool_map.ts";

/** What the callers' HTTP server works with. */
export interface FrontOptions {
  readonly config: Observable<AppliedConfig | undefined>;
  readonly fleet: Observable<FleetRecord | undefined>;
  readonly vmList: Observable<VmListSnapshot | undefined>;
  readonly log: Logger;
}

/** Creates the callers' HTTP server; it isn't listening yet. */
export function createFront(options: FrontOptions): Server {
  const { config, fleet, vmList } = options;
  let nextIndex = 0;

  function chooseInstance(serviceName: string): Instance | undefined {
    const applied = config.get();
    const record = fleet.get();
    const vms = vmList.get()?.vms;
    if (applied === undefined || record === undefined || vms === undefined) {
      return undefined;
    }
    const pools = resolvePoolMap({ config: applied.config, record, vms });
    const candidates = applied.config.pools
      .filter((pool) => pool.services[0] === serviceName)
      .flatMap((pool) => pools.get(pool.name) ?? []);
    return candidates[nextIndex++ % candidates.length];
  }

  function refuse(response: Response, reason: string): void {
    response.writeHead(503, {
      [OUTCOME_HEADER]: "not_run",
      "retry-after": "1",
    });
    response.end(
      JSON.stringify({ error: { kind: reason, retryAfterMs: 1_000 } }),
    );
  }

  async function serve(request: Request, response: Response): Promise<void> {
    const serviceName = (request.originalUrl ?? request.url).split("/")[1] ??
      "";
    const instance = chooseInstance(serviceName);
    if (instance === undefined) return refuse(response, "no_instance");
    try {
      const answer = await sendRequest(
        `http://${instance.address}${request.url}`,
        {
          method: request.method ?? "GET",
          body: request.method === "GET" ? null : request,
        },
      );
      const body = Buffer.from(await answer.body.arrayBuffer());
      response.writeHead(answer.statusCode, { [OUTCOME_HEADER]: "answer" });
      response.end(body);
    } catch (error) {
      if (isNotSent(error)) return refuse(response, "backend_unreachable");
      response.writeHead(502, { [OUTCOME_HEADER]: "outcome_unknown" });
      response.end(
        JSON.stringify({
          error: { kind: "outcome_unknown", message: messageOf(error) },
        }),
      );
    }
  }

  const app = new App({
    noMatchHandler: (request, response) => void serve(request, response),
  });
  return createServer((request, response) =>
    void app.handler(request as Request, response as unknown as Response)
  );
}
