import { request } from "node:http";
import type { SoakEntry } from "./entry_processes.ts";
import type { SoakRun, Target } from "./soak_run.ts";
import type { SoakWorkspaces } from "./workspaces.ts";

/** Deadline of the callers' requests, in ms. */
const DEADLINE_MS = 3_000;
/** Time by which a response of an undisturbed entry may exceed the deadline, in ms; ten times the usual delay on a busy machine. */
const DEADLINE_TOLERANCE_MS = 1_000;
/** Time after a fault during which late responses of the affected entry are tolerated, in ms. */
const RECOVERY_TIME_MS = 4_000;

/** Response of an entry to a caller. */
export interface Reply {
  readonly status: number;
  readonly text: string;
  readonly retryAfter: string | undefined;
}

/** Sends a caller's request to an entry; resolves to undefined if it gets no complete response. Never rejects. */
export type RequestSender = (
  entry: SoakEntry,
  method: string,
  target: Target,
  options?: {
    readonly body?: unknown;
    /** API key; that of the target's workspace by default. */
    readonly key?: string;
  },
) => Promise<Reply | undefined>;

/** Creates a sender that reports late responses of undisturbed entries. */
export function createRequestSender(
  { run, workspaces }: {
    readonly run: SoakRun;
    readonly workspaces: SoakWorkspaces | undefined;
  },
): RequestSender {
  return (entry, method, target, { body, key } = {}) => {
    const apiKey = key ??
      (target.workspace && workspaces?.keyOf(target.workspace));
    const sentAtMs = performance.now();
    return new Promise((resolve) => {
      const complete = (reply: Reply | undefined) => {
        const elapsedMs = performance.now() - sentAtMs;
        const disturbed = entry.paused ||
          entry.disturbedAtMs > sentAtMs - RECOVERY_TIME_MS;
        if (elapsedMs > DEADLINE_MS + DEADLINE_TOLERANCE_MS && !disturbed) {
          run.reportViolation(
            "DEADLINE",
            `${entry.id} answered ${method} ${target.path} after ${
              Math.round(elapsedMs)
            } ms`,
          );
        }
        resolve(reply);
      };
      const clientRequest = request({
        host: "127.0.0.1",
        port: entry.ports.callers,
        agent: entry.agent,
        method,
        path: target.path,
        headers: {
          host: target.host,
          "content-type": "application/json",
          "cowslipferry-deadline-milliseconds": String(DEADLINE_MS),
          ...(apiKey === undefined ? {} : { "api-key": apiKey }),
        },
        timeout: DEADLINE_MS + 4 * DEADLINE_TOLERANCE_MS,
      }, (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("error", () => complete(undefined));
        response.on("end", () =>
          complete({
            status: response.statusCode ?? 0,
            text,
            retryAfter: response.headers["retry-after"],
          }));
      });
      clientRequest.on("timeout", () => clientRequest.destroy());
      clientRequest.on("error", () => complete(undefined));
      clientRequest.end(body === undefined ? undefined : JSON.stringify(body));
    });
  };
}
