import { run, type Task } from "effection";
import { type Clock, systemClock } from "../src/clock.ts";
import { type AppliedConfig, configSchema } from "../src/config/schema.ts";
import { createContactTracker } from "../src/contact_tracker.ts";
import type { FleetRecord } from "../src/fleet/record.ts";
import { silentLogger } from "../src/logger.ts";
import { createObservable, type MutableObservable } from "../src/observable.ts";
import type { EntryDigest } from "../src/peers/messages.ts";
import { createPeers, type Peers } from "../src/peers/peers.ts";
import type { Vm } from "../src/ports/vm_list.ts";
import type { VmListSnapshot } from "../src/ports/vm_list_poller.ts";
import type { LoadReport } from "../src/requests/request_proxy.ts";
import { waitFor } from "./wait.ts";

/** The peer links of one entry, run in the test process without a store. */
export interface PeerNode {
  readonly entryId: string;
  readonly peers: Peers;
  readonly config: MutableObservable<AppliedConfig | undefined>;
  readonly fleet: MutableObservable<FleetRecord | undefined>;
  /** Digests of all current entries of the region, including this one. */
  readonly entries: MutableObservable<readonly EntryDigest[]>;
  /** Inputs and observations; tests may change the inputs while the node runs. */
  readonly state: {
    load: LoadReport;
    /** Number of times that the load was read. */
    loadReadCount: number;
    idle: boolean;
    stopping: boolean;
    superseded: boolean;
  };
  /** Stops the node; rejects if it had failed. */
  stop(): Promise<void>;
}

/** Options for `startPeerNode`. */
export interface PeerNodeOptions {
  readonly entryId: string;
  readonly region?: string;
  readonly incarnation?: string;
  /** Port of the peer server; 0 lets the operating system choose. */
  readonly port?: number;
  /** `host:port` of the server for callers. */
  readonly callerAddress?: string;
  readonly vmList?: MutableObservable<VmListSnapshot | undefined>;
  readonly clock?: Clock;
}

/** Creates an applied configuration with one service and one pool, both named `quoting`. */
export function createAppliedConfig(revision: number): AppliedConfig {
  const config = configSchema.parse({
    version: 1,
    teams: [{ name: "team" }],
    services: [{ name: "quoting" }],
    pools: [{
      name: "quoting",
      region: "khomas",
      team: "team",
      services: ["quoting"],
      vms: 6,
      availability: { minimumServingVms: 4 },
    }],
  });
  return { revision, applyId: "", appliedAtMs: 0, digest: "", config };
}

/** Starts a node; resolves once its peer server listens. */
export async function startPeerNode(
  options: PeerNodeOptions,
): Promise<PeerNode> {
  const clock = options.clock ?? systemClock;
  const config = createObservable<AppliedConfig | undefined>(undefined);
  const fleet = createObservable<FleetRecord | undefined>(undefined);
  const entries = createObservable<readonly EntryDigest[]>([]);
  const state: PeerNode["state"] = {
    load: { services: {}, drainingInFlight: {}, leavingVms: [] },
    loadReadCount: 0,
    idle: false,
    stopping: false,
    superseded: false,
  };
  const peers = createPeers({
    self: {
      entryId: options.entryId,
      region: options.region ?? "khomas",
      incarnation: options.incarnation ?? "1",
    },
    listen: { host: "127.0.0.1", port: options.port ?? 0 },
    maximumConnections: 100,
    config,
    fleet,
    vmList: options.vmList ?? createObservable<VmListSnapshot | undefined>(
      undefined,
    ),
    entries,
    callerAddress: () => options.callerAddress ?? "127.0.0.1:1",
    load() {
      state.loadReadCount++;
      return state.load;
    },
    isIdle: () => state.idle,
    isReady: () => true,
    isStopping: () => state.stopping,
    onSuperseded: () => state.superseded = true,
    contacts: createContactTracker(clock),
    clock,
    log: silentLogger,
  });
  const task: Task<void> = run(() => peers.run());
  let failure: unknown;
  let stopped = false;
  // Halting the task also rejects it; only other errors count as failures.
  task.catch((error) => failure = stopped ? undefined : error);
  await waitFor("the peer server listens", () => peers.address() !== "");
  return {
    entryId: options.entryId,
    peers,
    config,
    fleet,
    entries,
    state,
    async stop() {
      stopped = true;
      await task.halt();
      if (failure !== undefined) throw failure;
    },
  };
}

/** Creates a node's item of the VM list. */
export function createNodeVm(node: PeerNode, region = "khomas"): Vm {
  return {
    id: node.entryId,
    role: "entry",
    state: "live",
    incarnation: "1",
    region,
    dataCentre: "dc-1",
    rack: "rack-1",
    address: "127.0.0.1:1",
    controlAddress: node.peers.address(),
    cores: 4,
    memoryMb: 8_192,
    accelerators: 0,
  };
}

/** Starts `count` nodes that share a VM list containing all of them. */
export async function startPeerNodes(count: number): Promise<
  {
    nodes: PeerNode[];
    vmList: MutableObservable<VmListSnapshot | undefined>;
    stop(): Promise<void>;
  }
> {
  const vmList = createObservable<VmListSnapshot | undefined>(undefined);
  const nodes = await Promise.all(
    Array.from(
      { length: count },
      (_, index) => startPeerNode({ entryId: `entry-${index + 1}`, vmList }),
    ),
  );
  vmList.set({ vms: nodes.map((node) => createNodeVm(node)), readAtMs: 0 });
  return {
    nodes,
    vmList,
    stop: async () => {
      await Promise.all(nodes.map((node) => node.stop()));
    },
  };
}
