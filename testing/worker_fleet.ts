import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { ResolvedConfig } from "../src/config/schema.ts";
import type { Vm } from "../src/ports/vm_list.ts";
import type { BackendServer } from "./backend_server.ts";
import {
  killChild,
  type RunningChild,
  startTypeScript,
} from "./child_process.ts";
import { waitFor } from "./wait.ts";
import {
  createHandle,
  createRemoteHandles,
  type WorkerHandle,
  type WorkerHostInfo,
} from "./worker_host.ts";
import { startWorker, type Worker, type WorkerOptions } from "./worker.ts";

const VMS_PER_RACK = 4;

/** Options for `startWorkerFleet`. */
export interface WorkerFleetOptions {
  readonly config: ResolvedConfig;
  /** Data centres across which the workers are spread. */
  readonly dataCentres: readonly string[];
  /** Initial behaviour of every worker. */
  readonly worker: Omit<WorkerOptions, "id">;
  /** Number of separate processes across which workers are spread; 0 runs them in this process. */
  readonly processes: number;
  /** Folder for the option files of the worker processes. */
  readonly folder: string;
}

/** The workers of a deployment. */
export interface WorkerFleet {
  /** Handles by VM id. */
  readonly workers: ReadonlyMap<string, WorkerHandle>;
  /** Backend servers that run in this process, by VM id. */
  readonly backends: ReadonlyMap<string, BackendServer>;
  /** VM list items of the workers as first started. */
  readonly vms: readonly Vm[];
  /**
   * Kills one of the separate processes.
   * With as many processes as data centres, it runs the workers of the data centre with the same index.
   */
  killProcess(processIndex: number): Promise<void>;
  /** Restarts the workers of a killed process as new incarnations; returns their VM list items. */
  replaceProcess(processIndex: number): Promise<readonly Vm[]>;
  close(): Promise<void>;
}

async function startHostProcess(
  file: string,
  specs: readonly WorkerOptions[],
): Promise<{ child: RunningChild; info: WorkerHostInfo }> {
  await writeFile(file, JSON.stringify(specs));
  const child = startTypeScript("testing/main.ts", ["workers", "--file", file]);
  try {
    await waitFor("a worker process is ready", () => child.lines().length > 0);
  } catch (error) {
    await killChild(child);
    throw new Error(`Worker process failed to start: ${child.output()}`, {
      cause: error,
    });
  }
  return { child, info: JSON.parse(child.lines()[0] ?? "{}") };
}

function listVms(
  options: WorkerFleetOptions,
  workers: ReadonlyMap<string, WorkerHandle>,
): Vm[] {
  const { config, dataCentres } = options;
  const ids = config.pools.flatMap((pool) =>
    Array.from({ length: pool.vms }, (_, index) => ({
      id: `${pool.name}-${index + 1}`,
      pool,
    }))
  );
  return ids.flatMap(({ id, pool }, index) => {
    const worker = workers.get(id);
    if (worker === undefined) return [];
    const dataCentre = dataCentres[index % dataCentres.length] ?? "dc-1";
    const rack = Math.floor(index / (VMS_PER_RACK * dataCentres.length)) + 1;
    return [{
      id,
      role: "worker" as const,
      state: "live" as const,
      incarnation: "1",
      region: pool.region,
      dataCentre,
      rack: `${dataCentre}-rack-${rack}`,
      address: worker.address,
      controlAddress: worker.controlAddress,
      pool: pool.name,
      cores: 16,
      memoryMb: 65_536,
      accelerators: 0,
    }];
  });
}

/** Starts a worker for each VM in the configuration. */
export async function startWorkerFleet(
  options: WorkerFleetOptions,
): Promise<WorkerFleet> {
  const { config, processes, folder } = options;
  const specs: WorkerOptions[] = config.pools.flatMap((pool) =>
    Array.from(
      { length: pool.vms },
      (_, index) => ({ ...options.worker, id: `${pool.name}-${index + 1}` }),
    )
  );
  const workers = new Map<string, WorkerHandle>();
  const localWorkers: Worker[] = [];
  const hosts: RunningChild[] = [];

  async function startProcess(processIndex: number, incarnation: string) {
    const assignedSpecs = specs.filter((_, index) =>
      index % processes === processIndex
    );
    const { child, info } = await startHostProcess(
      join(folder, `workers-${processIndex}.json`),
      assignedSpecs.map((spec) => ({ ...spec, incarnation })),
    );
    hosts[processIndex] = child;
    const handles = createRemoteHandles(info);
    for (const handle of handles) workers.set(handle.id, handle);
    return new Set(handles.map(({ id }) => id));
  }

  if (processes === 0) {
    for (const spec of specs) localWorkers.push(await startWorker(spec));
    for (const worker of localWorkers) {
      workers.set(worker.id, createHandle(worker));
    }
  } else {
    const processIndexes = Array.from(
      { length: processes },
      (_, processIndex) => processIndex,
    );
    await Promise.all(
      processIndexes.map((processIndex) => startProcess(processIndex, "1")),
    );
  }
  return {
    workers,
    backends: new Map(
      localWorkers.map((worker) => [worker.id, worker.backend]),
    ),
    vms: listVms(options, workers),
    async killProcess(processIndex) {
      const host = hosts[processIndex];
      if (host !== undefined) await killChild(host);
    },
    async replaceProcess(processIndex) {
      const incarnation = "2";
      const ids = await startProcess(processIndex, incarnation);
      return listVms(options, workers).filter(({ id }) => ids.has(id))
        .map((vm) => ({ ...vm, incarnation }));
    },
    async close() {
      await Promise.all(localWorkers.map((worker) => worker.close()));
      await Promise.all(hosts.map(killChild));
    },
  };
}
