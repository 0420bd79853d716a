import { z } from "zod";
import { messageOf, PlatformError } from "../errors.ts";
import { requestJson } from "./http_json.ts";
import type { WorkerAgent } from "./worker_agent.ts";

const CALL_TIMEOUT_MS = 2_000;
const reportSchema = z.object({
  vmId: z.string(),
  incarnation: z.string(),
  lastRebootIntentId: z.string().optional(),
  tasks: z.array(z.object({
    taskId: z.string(),
    state: z.enum([
      "running",
      "checkpointed",
      "succeeded",
      "failed",
      "stopped",
    ]),
    usedCores: z.number(),
    usedMemoryMb: z.number(),
  })),
});

/**
 * Creates a client of the worker agents' HTTP protocol. `dedicatedConnections`
 * opens a connection for each call, for callers that rarely call the same
 * worker.
 */
export function createHttpWorkerAgent(
  options: { readonly dedicatedConnections?: boolean } = {},
): WorkerAgent {
  const dedicatedConnection = options.dedicatedConnections ?? false;

  async function call(
    url: string,
    request: {
      method: "GET" | "POST";
      body?: unknown;
      signal?: AbortSignal | undefined;
    },
  ): Promise<unknown> {
    let status: number;
    let body: unknown;
    try {
      ({ status, body } = await requestJson(url, {
        ...request,
        dedicatedConnection,
        timeoutMs: CALL_TIMEOUT_MS,
      }));
    } catch (error) {
      throw new PlatformError(
        "worker_agent",
        `Request to ${url} failed: ${messageOf(error)}`,
      );
    }
    if (status >= 300) {
      throw new PlatformError(
        "worker_agent",
        `${url} responded with status ${status}`,
      );
    }
    return body;
  }
  const sendCommand = async (address: string, path: string, body: unknown) => {
    await call(`http://${address}/v1/${path}`, { method: "POST", body });
  };

  return {
    async report(address, signal) {
      const result = reportSchema.safeParse(
        await call(`http://${address}/v1/report`, { method: "GET", signal }),
      );
      if (!result.success) {
        throw new PlatformError(
          "worker_agent",
          `Report of the worker at ${address} doesn't match the expected schema`,
        );
      }
      return {
        ...result.data,
        lastRebootIntentId: result.data.lastRebootIntentId,
      };
    },
    runTask: (address, task) => sendCommand(address, "tasks/run", task),
    checkpointTask: (address, taskId) =>
      sendCommand(address, "tasks/checkpoint", { taskId }),
    throttleTask: (address, options) =>
      sendCommand(address, "tasks/throttle", options),
    stopTask: (address, taskId) =>
      sendCommand(address, "tasks/stop", { taskId }),
    drain: (address, intentId) => sendCommand(address, "drain", { intentId }),
    reboot: (address, intentId) => sendCommand(address, "reboot", { intentId }),
  };
}
