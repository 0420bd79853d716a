import { configSchema } from "../src/config/schema.ts";
import type { AppliedConfig } from "../src/config/schema.ts";
import type { FleetRecord, VmRecord } from "../src/fleet/record.ts";
import { createObservable, type MutableObservable } from "../src/observable.ts";
import type { Vm } from "../src/ports/vm_list.ts";
import type { VmListSnapshot } from "../src/ports/vm_list_poller.ts";
import {
  type ResolvedSettings,
  settingsSchema,
} from "../src/settings/schema.ts";

/** Observables of a fleet for tests and benchmarks. */
export interface TestFleet {
  readonly config: MutableObservable<AppliedConfig | undefined>;
  readonly fleet: MutableObservable<FleetRecord | undefined>;
  readonly vmList: MutableObservable<VmListSnapshot | undefined>;
}

/** Creates the settings of one entry with placeholders for the platform's URLs. */
export function createTestSettings(
  entryId: string,
  limits: Record<string, number> = {},
): ResolvedSettings {
  return settingsSchema.parse({
    entryId,
    region: "north",
    dataCentre: "north-1",
    platform: {
      storeUrl: "http://127.0.0.1:1",
      vmListUrl: "http://127.0.0.1:1",
    },
    limits,
  });
}

function createVm(id: string, address: string): Vm {
  return {
    id,
    role: "worker",
    state: "live",
    incarnation: "1",
    region: "north",
    dataCentre: "north-1",
    rack: "rack-1",
    address,
    controlAddress: address,
    cores: 16,
    memoryMb: 65_536,
    accelerators: 0,
  };
}

function createVmRecord(pool: string): VmRecord {
  return {
    pool,
    homePool: pool,
    state: "serving",
    incarnation: "1",
    dataCentre: "north-1",
    rack: "rack-1",
    changedAtMs: 0,
    maintainedAtMs: 0,
  };
}

/** Options for `createTestFleet`. */
export interface TestFleetOptions {
  /** Overrides of the configuration of the service `quoting`. */
  readonly service?: Record<string, unknown>;
  /** Addresses of instances of a second pool, `survey`, that lends to `quoting`. */
  readonly lender?: readonly string[];
  /** Minimum number of serving VMs of each pool; 0 by default. */
  readonly minimumServingVms?: number;
}

/** Creates a fleet with a pool `quoting` of the VMs `vm-1`, `vm-2` and so on. */
export function createTestFleet(
  addresses: readonly string[],
  options: TestFleetOptions = {},
): TestFleet {
  const lender = options.lender ?? [];
  const availability = { minimumServingVms: options.minimumServingVms ?? 0 };
  const config = configSchema.parse({
    version: 1,
    teams: [{ name: "team" }],
    services: [{ name: "quoting", ...options.service }, { name: "survey" }],
    pools: [
      {
        name: "quoting",
        region: "north",
        team: "team",
        services: ["quoting"],
        vms: addresses.length,
        availability,
      },
      {
        name: "survey",
        region: "north",
        team: "team",
        services: ["survey", "quoting"],
        vms: lender.length,
        availability,
        lending: { overflow: true },
      },
    ],
  });
  const vms = [
    ...addresses.map((address, index) => createVm(`vm-${index + 1}`, address)),
    ...lender.map((address, index) => createVm(`lent-${index + 1}`, address)),
  ];
  const record: FleetRecord = {
    schemaVersion: 1,
    region: "north",
    revision: 1,
    configRevision: 1,
    vms: Object.fromEntries(
      vms.map((vm) => [
        vm.id,
        createVmRecord(vm.id.startsWith("lent") ? "survey" : "quoting"),
      ]),
    ),
    maintenance: { waves: {}, late: {} },
  };
  return {
    config: createObservable<AppliedConfig | undefined>({
      revision: 1,
      applyId: "test",
      appliedAtMs: 0,
      digest: "",
      config,
    }),
    fleet: createObservable<FleetRecord | undefined>(record),
    vmList: createObservable<VmListSnapshot | undefined>({ vms, readAtMs: 0 }),
  };
}
