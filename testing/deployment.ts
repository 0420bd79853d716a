import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { resolveConfig } from "../src/config/validate.ts";
import type { ResolvedConfig } from "../src/config/schema.ts";
import { readTextFile } from "../src/settings/load.ts";
import type { UserSettings } from "../src/settings/schema.ts";
import { type BackendServer, startBackendServer } from "./backend_server.ts";
import { findFreePort } from "./ports.ts";
import { startStoreServer, type StoreServer } from "./store_server.ts";
import { startVmListServer, type VmListServer } from "./vm_list_server.ts";
import { waitFor } from "./wait.ts";

const VMS_PER_RACK = 4;

/** How entry processes are started. */
export type Program =
  | { readonly kind: "binary"; readonly path: string }
  | { readonly kind: "source" };

/** One entry process. */
export interface EntryProcess {
  readonly id: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly adminAddress: string;
  readonly process: ChildProcess;
  /** Log lines so far. */
  readonly output: () => string;
  readonly exited: Promise<number | null>;
}

/** What a deployment is started from. */
export interface DeploymentOptions {
  readonly configFile: string;
  readonly entryCount: number;
  readonly program: Program;
  /** Data centres over which VMs are spread. */
  readonly dataCentres: readonly string[];
  readonly serviceTimeMs?: number;
  readonly settings?: Partial<UserSettings>;
}

/** Stand-ins and entry processes of one region on this machine. */
export interface Deployment {
  readonly store: StoreServer;
  readonly vmList: VmListServer;
  readonly backends: ReadonlyMap<string, BackendServer>;
  readonly entries: EntryProcess[];
  readonly storeUrl: string;
  readonly vmListUrl: string;
  /** Starts one more entry process and adds it to the VM list. */
  startEntry(id: string): Promise<EntryProcess>;
  /** Runs an operator command; resolves with its exit code and output. */
  runCommand(
    args: readonly string[],
  ): Promise<{ code: number | null; output: string }>;
  close(): Promise<void>;
}

function commandOf(program: Program): [string, string[]] {
  switch (program.kind) {
    case "binary":
      return [program.path, []];
    case "source":
      return [process.execPath, ["--import", "tsx", "src/main.ts"]];
  }
}

function spawnProgram(program: Program, args: readonly string[]) {
  const [command, prefix] = commandOf(program);
  const child = spawn(command, [...prefix, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  let output = "";
  child.stdout.on("data", (chunk) => output += chunk);
  child.stderr.on("data", (chunk) => output += chunk);
  const exited = new Promise<number | null>((resolve) =>
    child.on("close", resolve)
  );
  return { child, output: () => output, exited };
}

async function startWorkers(
  config: ResolvedConfig,
  options: DeploymentOptions,
  vmList: VmListServer,
): Promise<Map<string, BackendServer>> {
  const backends = new Map<string, BackendServer>();
  let index = 0;
  for (const pool of config.pools) {
    for (let number = 1; number <= pool.vms; number++) {
      const id = `${pool.name}-${number}`;
      const backend = await startBackendServer(id, {
        serviceTimeMs: options.serviceTimeMs ?? 5,
      });
      backends.set(id, backend);
      const dataCentre =
        options.dataCentres[index % options.dataCentres.length] ?? "dc-1";
      const rackNumber =
        Math.floor(index / (VMS_PER_RACK * options.dataCentres.length)) + 1;
      vmList.vms.set(id, {
        id,
        role: "worker",
        state: "live",
        incarnation: "1",
        region: pool.region,
        dataCentre,
        rack: `${dataCentre}-rack-${rackNumber}`,
        address: backend.address,
        controlAddress: backend.address,
        pool: pool.name,
        cores: 16,
        memoryMb: 65_536,
        accelerators: 0,
      });
      index++;
    }
  }
  return backends;
}

/** Starts the stand-ins and entry processes; `close` ends all of them. */
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
  const backends = await startWorkers(config, options, vmList);
  const entries: EntryProcess[] = [];

  async function startEntry(id: string): Promise<EntryProcess> {
    const [callers, peers, admin] = [
      await findFreePort(),
      await findFreePort(),
      await findFreePort(),
    ];
    const dataCentre =
      options.dataCentres[entries.length % options.dataCentres.length] ??
        "dc-1";
    const settings: UserSettings = {
      entryId: id,
      region,
      dataCentre,
      listen: {
        callers: { port: callers },
        peers: { port: peers },
        admin: { port: admin },
      },
      platform: { storeUrl, vmListUrl },
      ...options.settings,
    };
    const file = join(folder, `${id}.json`);
    await writeFile(file, JSON.stringify(settings));
    const { child, output, exited } = spawnProgram(options.program, [
      "entry",
      "--settings",
      file,
    ]);
    const entry: EntryProcess = {
      id,
      callerAddress: `127.0.0.1:${callers}`,
      peerAddress: `127.0.0.1:${peers}`,
      adminAddress: `127.0.0.1:${admin}`,
      process: child,
      output,
      exited,
    };
    entries.push(entry);
    vmList.vms.set(id, {
      id,
      role: "entry",
      state: "live",
      incarnation: String(child.pid),
      region,
      dataCentre,
      rack: `${dataCentre}-entries`,
      address: entry.callerAddress,
      controlAddress: entry.peerAddress,
      adminAddress: entry.adminAddress,
      cores: 4,
      memoryMb: 8_192,
      accelerators: 0,
    });
    await waitFor(`${id} listens`, () => output().includes("listening on"));
    return entry;
  }

  async function runCommand(args: readonly string[]) {
    const { output, exited } = spawnProgram(options.program, args);
    return { code: await exited, output: output() };
  }

  async function close(): Promise<void> {
    for (const entry of entries) {
      entry.process.kill("SIGCONT");
      entry.process.kill("SIGKILL");
    }
    await Promise.all(entries.map((entry) => entry.exited));
    await Promise.all(
      [store, vmList, ...backends.values()].map((server) => server.close()),
    );
    await rm(folder, { recursive: true, force: true });
  }

  const deployment: Deployment = {
    store,
    vmList,
    backends,
    entries,
    storeUrl,
    vmListUrl,
    startEntry,
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
