import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { killChild, type RunningChild, startChild } from "../child_process.ts";
import { InvariantChecker } from "../fake_task_workers.ts";
import { createRandom } from "../random.ts";
import { buildProgram } from "../soak/build_program.ts";
import { createConfigWriter, QUEUES } from "../soak/deployment_config.ts";
import { allocatePort } from "../soak/entry_ports.ts";
import { startStoreServer } from "../soak/platform_host.ts";
import { startSoakPlatform } from "../soak/soak_platform.ts";
import { waitFor } from "../wait.ts";

/** Host and path prefix of the queue that the tests use. */
export const QUEUE = QUEUES[0]!;

/** A scheduler process with a fake platform; it is the owner of the queues. */
export interface SchedulerProcess {
  readonly child: RunningChild;
  /** `host:port` of the server for callers. */
  readonly address: string;
  readonly port: number;
  /** `host:port` of the other servers. */
  readonly readinessAddress: string;
  readonly peerAddress: string;
}

/** Limits of the VM that the process runs on. */
export interface VmLimits {
  readonly memoryMb: number;
  readonly fileDescriptors: number;
}

/** Response to a caller. */
export interface CallerResponse {
  readonly status: number;
  readonly text: string;
}

const RESPONSE_TIMEOUT_MS = 30_000;

/** Sends a request on a new connection, its body in `bodyParts` with a pause after each; rejects without a complete response. */
export function sendRequest(
  address: string,
  options: {
    readonly method: string;
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly bodyParts?: readonly string[];
    /** Pause after each part of the body, in ms. */
    readonly partIntervalMs?: number;
  },
): Promise<CallerResponse> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const sent = request({
      host,
      port,
      method: options.method,
      path: options.path,
      headers: options.headers ?? {},
      agent: false,
      timeout: RESPONSE_TIMEOUT_MS,
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      response.on("error", reject);
      response.on(
        "end",
        () => resolve({ status: response.statusCode ?? 0, text }),
      );
    });
    sent.on("timeout", () => sent.destroy(new Error("no response in time")));
    sent.on("error", reject);
    const parts = [...options.bodyParts ?? []];
    function sendNextPart(): void {
      const part = parts.shift();
      if (part === undefined) {
        sent.end();
        return;
      }
      sent.write(part);
      setTimeout(sendNextPart, options.partIntervalMs ?? 0);
    }
    sendNextPart();
  });
}

/** Requests the number of waiting jobs, as an ordinary caller does. */
export function countWaiting(address: string): Promise<CallerResponse> {
  return sendRequest(address, {
    method: "GET",
    path: QUEUE.prefix,
    headers: { host: QUEUE.host },
  });
}

/** Runs a check against a scheduler process that is started as on the platform, and ends the process afterwards. */
export async function withSchedulerProcess(
  limits: VmLimits,
  check: (scheduler: SchedulerProcess) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-abuse-"));
  const random = createRandom(1);
  const platform = await startSoakPlatform({
    random,
    checker: new InvariantChecker(),
    hasWorkspaces: false,
  });
  const storeServer = await startStoreServer(platform.store, "entry-1");
  platform.addVms(4);
  createConfigWriter(platform)();
  const [callersPort, readinessPort, peersPort] = [
    await allocatePort(),
    await allocatePort(),
    await allocatePort(),
  ];
  const settingsFile = join(folder, "settings.json");
  await writeFile(
    settingsFile,
    JSON.stringify({
      entryId: "entry-1",
      dataCentre: "dc-1",
      region: "region-1",
      listen: {
        callers: `127.0.0.1:${callersPort}`,
        readiness: `127.0.0.1:${readinessPort}`,
        peers: `127.0.0.1:${peersPort}`,
      },
      platform: {
        storeAddress: storeServer.address,
        vmApiAddress: platform.vmServer.address,
      },
      limits,
      bounds: { graceS: 2, holderGapMs: 300 },
    }),
  );
  const program = await buildProgram(folder);
  const child = startChild("/bin/sh", [
    "-c",
    'ulimit -n "$0" && exec "$@"',
    String(limits.fileDescriptors),
    process.execPath,
    // The options of `deploy/system.toml`.
    "--max-old-space-size=158",
    "--single-threaded-gc",
    program,
    "scheduler",
    "--settings",
    settingsFile,
  ]);
  const address = `127.0.0.1:${callersPort}`;
  try {
    await waitFor("the scheduler serves", async () => {
      const response = await countWaiting(address).catch(() => undefined);
      return response?.status === 200;
    });
    await check({
      child,
      address,
      port: callersPort,
      readinessAddress: `127.0.0.1:${readinessPort}`,
      peerAddress: `127.0.0.1:${peersPort}`,
    });
  } catch (error) {
    console.log(`log of the scheduler:\n${child.output().slice(-2_000)}`);
    throw error;
  } finally {
    await killChild(child);
    platform.stop();
    await platform.closeServers();
    await storeServer.close();
    await rm(folder, { recursive: true, force: true });
  }
}
