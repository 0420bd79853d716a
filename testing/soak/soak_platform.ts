import { FakeRecordStore } from "../fake_record_store.ts";
import {
  FakeTaskWorkers,
  type InvariantChecker,
} from "../fake_task_workers.ts";
import type { RunningServer } from "../http_json_server.ts";
import type { Random } from "../random.ts";
import { startTcpRelay, type TcpRelay } from "../tcp_relay.ts";
import { FakeFleet, SPARE_POOL } from "./fake_fleet.ts";
import { startVmServer, startWorkerServer } from "./platform_host.ts";
import { createSoakWorkspaces, type SoakWorkspaces } from "./workspaces.ts";

/** The fake platform of a soak run: store, workers and VMs, with the servers that all entries share. */
export interface SoakPlatform {
  readonly store: FakeRecordStore;
  readonly workers: FakeTaskWorkers;
  readonly fleet: FakeFleet;
  /** Undefined if the configuration defines no workspaces. */
  readonly workspaces: SoakWorkspaces | undefined;
  /** Link between the entries and all workers. */
  readonly workerRelay: TcpRelay;
  readonly vmServer: RunningServer;
  /** Adds VMs to the queues' pools and the spare pool in turn. */
  addVms(count: number): void;
  /** Stops the fakes; the servers keep listening until `closeServers`. */
  stop(): void;
  closeServers(): Promise<void>;
}

/** Starts the fake platform in this process, without VMs. */
export async function startSoakPlatform(
  { random, checker, hasWorkspaces }: {
    readonly random: Random;
    readonly checker: InvariantChecker;
    readonly hasWorkspaces: boolean;
  },
): Promise<SoakPlatform> {
  const store = new FakeRecordStore(random);
  const workers = new FakeTaskWorkers(random, checker);
  const fleet = new FakeFleet(store, workers);
  const workspaces = hasWorkspaces
    ? createSoakWorkspaces({ random, workers, checker })
    : undefined;
  const workerServer = await startWorkerServer(workers);
  const workerRelay = await startTcpRelay(workerServer.address);
  const vmServer = await startVmServer(fleet);
  return {
    store,
    workers,
    fleet,
    workspaces,
    workerRelay,
    vmServer,
    addVms(count) {
      fleet.workerAddress = workerRelay.address;
      for (let index = 0; index < count; index++) {
        fleet.add(["desk", "shop", "desk", "shop", SPARE_POOL][index % 5]!);
      }
    },
    stop() {
      fleet.close();
      workers.close();
      store.close();
    },
    async closeServers() {
      await workerRelay.close();
      await workerServer.close();
      await vmServer.close();
    },
  };
}
