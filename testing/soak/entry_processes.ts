import { writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { join } from "node:path";
import process from "node:process";
import { killChild, type RunningChild, startChild } from "../child_process.ts";
import type { RunningServer } from "../http_json_server.ts";
import { startTcpRelay, type TcpRelay } from "../tcp_relay.ts";
import { allocatePort } from "./entry_ports.ts";
import { startStoreServer } from "./platform_host.ts";
import type { SoakPlatform } from "./soak_platform.ts";
import type { SoakRun } from "./soak_run.ts";

/** An entry of a soak run: a scheduler process, with its own link to the store. */
export interface SoakEntry {
  readonly id: string;
  readonly ports: { callers: number; readiness: number; peers: number };
  readonly storeServer: RunningServer;
  readonly storeRelay: TcpRelay;
  readonly settingsFile: string;
  /** Keeps the callers' connections open. */
  readonly agent: Agent;
  /** Undefined while the process isn't running. */
  child: RunningChild | undefined;
  /** Monotonic time of the start or end of the last fault that affected the entry, in ms. */
  disturbedAtMs: number;
  paused: boolean;
}

/** Records that a fault that affects an entry starts or ends now. */
export function markDisturbed(entry: SoakEntry): void {
  entry.disturbedAtMs = performance.now();
}

/** The entries' processes. A process that exits is restarted unless the run is stopping. */
export interface EntryProcesses {
  readonly entries: readonly SoakEntry[];
  /** Logs of the processes, in the order in which they ended. */
  readonly logs: readonly string[];
  /** Returns a random entry. */
  choose(): SoakEntry;
  /** Adds entries and starts their processes. */
  startAll(count: number): Promise<void>;
  /** Starts the process of each entry that has none. */
  startMissing(): void;
  /** Kills the processes and waits until they have ended. */
  killAll(): Promise<void>;
  /** Closes the entries' connections and their store servers. */
  close(): Promise<void>;
}

/** Creates the set of entries, empty at first. */
export function createEntryProcesses(
  { run, platform, program, folder }: {
    readonly run: SoakRun;
    readonly platform: SoakPlatform;
    /** Bundle of the program. */
    readonly program: string;
    /** Folder for the settings files. */
    readonly folder: string;
  },
): EntryProcesses {
  const { random, reportViolation } = run;
  const { store, vmServer } = platform;
  const entries: SoakEntry[] = [];
  const logs: string[] = [];

  async function addEntry(
    index: number,
    seedAddresses: string[],
  ): Promise<void> {
    const id = `entry-${index}`;
    const storeServer = await startStoreServer(store, id);
    const storeRelay = await startTcpRelay(storeServer.address);
    const ports = {
      callers: await allocatePort(),
      readiness: await allocatePort(),
      peers: await allocatePort(),
    };
    seedAddresses.push(`127.0.0.1:${ports.peers}`);
    entries.push({
      id,
      ports,
      storeServer,
      storeRelay,
      settingsFile: join(folder, `${id}.json`),
      agent: new Agent({ keepAlive: true, maxSockets: 16 }),
      child: undefined,
      disturbedAtMs: performance.now(),
      paused: false,
    });
  }

  async function writeSettings(entry: SoakEntry, seedAddresses: string[]) {
    const toAddress = (port: number) => `127.0.0.1:${port}`;
    await writeFile(
      entry.settingsFile,
      JSON.stringify({
        entryId: entry.id,
        dataCentre: "dc-1",
        region: "region-1",
        listen: {
          callers: toAddress(entry.ports.callers),
          readiness: toAddress(entry.ports.readiness),
          peers: toAddress(entry.ports.peers),
        },
        seedPeers: seedAddresses,
        platform: {
          storeAddress: entry.storeRelay.address,
          vmApiAddress: vmServer.address,
        },
        bounds: { graceS: 2, holderGapMs: 300 },
      }),
    );
  }

  function start(entry: SoakEntry): void {
    if (run.stopping) return;
    markDisturbed(entry);
    const child = startChild(process.execPath, [
      "--max-old-space-size=158",
      program,
      "scheduler",
      "--settings",
      entry.settingsFile,
    ]);
    entry.child = child;
    entry.paused = false;
    void child.exited.then((code) => {
      logs.push(child.output());
      markDisturbed(entry);
      if (entry.child !== child) return;
      entry.child = undefined;
      if (code !== null && code !== 0) {
        reportViolation("EXIT", `${entry.id} exited with code ${code}`);
      }
      // The platform restarts processes that have exited.
      setTimeout(() => {
        if (entry.child === undefined) start(entry);
      }, 150 + random.nextInteger(1_200)).unref();
    });
  }

  return {
    entries,
    logs,
    choose: () => entries[random.nextInteger(entries.length)]!,
    async startAll(count) {
      const seedAddresses: string[] = [];
      for (let index = 1; index <= count; index++) {
        await addEntry(index, seedAddresses);
      }
      for (const entry of entries) {
        await writeSettings(entry, seedAddresses.slice(0, 3));
        start(entry);
      }
    },
    startMissing() {
      for (const entry of entries) if (entry.child === undefined) start(entry);
    },
    async killAll() {
      for (const { child } of entries) if (child) await killChild(child);
    },
    async close() {
      for (const entry of entries) {
        entry.agent.destroy();
        await entry.storeRelay.close();
        await entry.storeServer.close();
      }
    },
  };
}
