import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { EntryAddresses } from "../src/entry.ts";
import { resolveConfig } from "../src/config/validate.ts";
import type { ResolvedConfig } from "../src/config/schema.ts";
import { readTextFile } from "../src/settings/load.ts";
import type { Vm } from "../src/ports/vm_list.ts";
import type { UserSettings } from "../src/settings/schema.ts";
import type { BackendServer } from "./backend_server.ts";
import { killChild, type RunningChild, startChild } from "./child_process.ts";
import { startStoreServer, type StoreServer } from "./store_server.ts";
import { getCommand, type Program } from "./program.ts";
import { startVmListServer, type VmListServer } from "./vm_list_server.ts";
import { waitFor } from "./wait.ts";
import { startWorkerFleet, type WorkerFleet } from "./worker_fleet.ts";
import type { WorkerHandle } from "./worker_host.ts";
import type { WorkerOptions } from "./worker.ts";

const START_TIMEOUT_MS = 30_000;

/** A running entry process. */
export interface EntryProcess {
  readonly id: string;
  /** `host:port` of the server for callers. */
  readonly callerAddress: string;
  /** `host:port` of the server for other entries. */
  readonly peerAddress: string;
  /** `host:port` of the admin server. */
  readonly adminAddress: string;
  readonly process: ChildProcess;
  /** Returns the output so far, including log lines. */
  readonly output: () => string;
  /** Resolves with the exit code, or with null after a signal or a failed start. */
  readonly exited: Promise<number | null>;
}

/** Options for `startDeployment`. */
export interface DeploymentOptions {
  readonly configFile: string;
  readonly entryCount: number;
  readonly program: Program;
  /** Data centres across which VMs are spread. */
  readonly dataCentres: readonly string[];
  /** Mean service time of the backend servers, in ms; 5 by default. */
  readonly serviceTimeMs?: number;
  /** Initial behaviour of every worker. */
  readonly worker?: Omit<WorkerOptions, "id">;
  /** Number of separate processes for the workers; by default they run in this process. */
  readonly workerProcesses?: number;
  /** Overrides of every entry's settings. */
  readonly settings?: Partial<UserSettings>;
  /** Adjusts each VM before it is listed, for example to put a relay in front of an address. */
  readonly adjustVm?: (vm: Vm) => Promise<Vm> | Vm;
}

/** The fake platform and the entry processes of one region, all on localhost. */
export interface Deployment {
  readonly store: StoreServer;
  readonly vmList: VmListServer;
  /** Backend servers that run in this process. */
  readonly backends: ReadonlyMap<string, BackendServer>;
  readonly workers: ReadonlyMap<string, WorkerHandle>;
  readonly fleet: WorkerFleet;
  readonly entries: EntryProcess[];
  readonly storeUrl: string;
  readonly vmListUrl: string;
  /** Starts another entry process and adds it to the VM list. */
  startEntry(
    id: string,
    settings?: Partial<UserSettings>,
  ): Promise<EntryProcess>;
  /** Applies a configuration file through the command line; rejects if the command fails. */
  apply(file: string): Promise<void>;
  /** Runs an operator command; resolves with its exit code and output. */
  runCommand(
    args: readonly string[],
  ): Promise<{ code: number | null; output: string }>;
  close(): Promise<void>;
}

function spawnProgram(
  program: Program,
  args: readonly string[],
): RunningChild {
  const [command, prefix] = getCommand(program);
  return startChild(command, [...prefix, ...args]);
}

async function startFleet(
  config: ResolvedConfig,
  options: DeploymentOptions & { folder: string },
): Promise<WorkerFleet> {
  return await startWorkerFleet({
    config,
    dataCentres: options.dataCentres,
    worker: {
      ...options.worker,
      backend: {
        serviceTimeMs: options.serviceTimeMs ?? 5,
        ...options.worker?.backend,
      },
    },
    processes: options.workerProcesses ?? 0,
    folder: options.folder,
  });
}

/** Waits for the line in which an entry prints its addresses, and parses it. */
async function waitForAddresses(
  id: string,
  running: RunningChild,
): Promise<EntryAddresses> {
  let ended = false;
  void running.exited.then(() => ended = true);
  const findLine = () =>
    running.output().split("\n").find((line) =>
      line.startsWith('{"listening":') && line.endsWith("}}")
    );
  await waitFor(`${id} listens`, () => ended || findLine() !== undefined, {
    timeoutMs: START_TIMEOUT_MS,
  });
  const line = findLine();
  if (line === undefined) {
    throw new Error(`${id} exited during startup: ${running.output()}`);
  }
  return JSON.parse(line).listening;
}

/** Starts the fake platform and the entry processes; `close` stops all of them. */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<Deployment> {
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-"));
  const store = await startStoreServer();
  const vmList = await startVmListServer();
  const storeUrl = `http://${store.address}`;
  const vmListUrl = `http://${vmList.address}`;
  const config = resolveConfig(
    await readTextFile(options.configFile),
    options.configFile,
  );
  const region = config.pools[0]?.region ?? "region";
  const fleet = await startFleet(config, { ...options, folder });
  for (const vm of fleet.vms) {
    vmList.vms.set(vm.id, await (options.adjustVm ?? ((same) => same))(vm));
  }
  const entries: EntryProcess[] = [];
  const children: RunningChild[] = [];

  async function startEntry(
    id: string,
    overrides: Partial<UserSettings> = {},
  ): Promise<EntryProcess> {
    const dataCentre =
      options.dataCentres[entries.length % options.dataCentres.length] ??
        "dc-1";
    const settings: UserSettings = {
      entryId: id,
      region,
      dataCentre,
      platform: { storeUrl, vmListUrl },
      ...options.settings,
      ...overrides,
    };
    const file = join(folder, `${id}.json`);
    await writeFile(file, JSON.stringify(settings));
    const running = spawnProgram(options.program, [
      "entry",
      "--settings",
      file,
    ]);
    children.push(running);
    const addresses = await waitForAddresses(id, running);
    const entry: EntryProcess = {
      id,
      callerAddress: addresses.callers ?? "",
      peerAddress: addresses.peers,
      adminAddress: addresses.admin,
      process: running.child,
      output: running.output,
      exited: running.exited,
    };
    entries.push(entry);
    await addToVmList(entry, settings);
    return entry;
  }

  async function addToVmList(
    entry: EntryProcess,
    { region, dataCentre }: UserSettings,
  ): Promise<void> {
    const vm: Vm = {
      id: entry.id,
      role: "entry",
      state: "live",
      incarnation: String(entry.process.pid),
      region,
      dataCentre,
      rack: `${dataCentre}-entries`,
      address: entry.callerAddress,
      controlAddress: entry.peerAddress,
      adminAddress: entry.adminAddress,
      cores: 4,
      memoryMb: 8_192,
      accelerators: 0,
    };
    const adjusted = options.adjustVm ? await options.adjustVm(vm) : vm;
    vmList.vms.set(entry.id, adjusted);
  }

  async function runCommand(args: readonly string[]) {
    const { output, exited } = spawnProgram(options.program, args);
    return { code: await exited, output: output() };
  }

  async function apply(file: string): Promise<void> {
    const result = await runCommand(["apply", file, "--store", storeUrl]);
    if (result.code !== 0) throw new Error(`apply failed: ${result.output}`);
  }

  async function close(): Promise<void> {
    await Promise.all(children.map(killChild));
    await Promise.all([store, vmList, fleet].map((part) => part.close()));
    await rm(folder, { recursive: true, force: true });
  }

  const deployment: Deployment = {
    store,
    vmList,
    backends: fleet.backends,
    workers: fleet.workers,
    fleet,
    entries,
    storeUrl,
    vmListUrl,
    startEntry,
    apply,
    runCommand,
    close,
  };
  try {
    await Promise.all(
      Array.from(
        { length: options.entryCount },
        (_, index) => startEntry(`entry-${index + 1}`),
      ),
    );
  } catch (error) {
    await close();
    throw error;
  }
  return deployment;
}
