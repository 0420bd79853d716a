import { setTimeout as delay } from "node:timers/promises";
import type { Command } from "commander";
import { parseAppliedConfig } from "../config/follower.ts";
import {
  type EntryReport,
  listLiveEntries,
  readEntryReport,
} from "../config/rollout.ts";
import type { AppliedConfig } from "../config/schema.ts";
import { CONFIG_KEY } from "../constants.ts";
import { parseFleetRecord } from "../fleet/follower.ts";
import { fleetKey } from "../fleet/record.ts";
import type { Store } from "../ports/store.ts";
import type { Vm } from "../ports/vm_list.ts";
import {
  addPlatformOptions,
  type OperatorPlatform,
  parseInteger,
  type PlatformOptions,
  printResult,
  type ReadFailure,
  readOrRecordFailure,
  requireStoreAndVmList,
  resolvePlatform,
} from "./context.ts";
import {
  listLoans,
  type Loan,
  type PoolBudget,
  type PoolWave,
  summarizeBudgets,
  summarizeWaves,
} from "./fleet_summary.ts";
import {
  type RegionalDump,
  type RegionJobs,
  summarizeJobs,
} from "./job_status.ts";
import { formatStatus } from "./status_format.ts";

/** State of a region, read from its fleet record. */
export interface RegionStatus {
  readonly region: string;
  /** Revision of the fleet record; undefined if there is no record. */
  readonly fleetRevision: number | undefined;
  readonly budgets: readonly PoolBudget[];
  readonly waves: readonly PoolWave[];
  /** Reason why maintenance is paused; undefined while it is running. */
  readonly pausedReason?: string;
  /** Reason for each pool whose maintenance wave can't finish within its period. */
  readonly lateWaves: Readonly<Record<string, string>>;
  readonly loans: readonly Loan[];
}

/** An entry in the VM list and what it reported. */
export interface EntryStatus extends EntryReport {
  readonly state: Vm["state"];
  readonly region: string;
  readonly dataCentre: string;
}

/** Output of the `status` command. */
export interface Status {
  readonly configuration:
    | Pick<AppliedConfig, "revision" | "applyId" | "appliedAtMs" | "digest">
    | undefined;
  readonly regions: readonly RegionStatus[];
  readonly entries: readonly EntryStatus[];
  readonly jobs: readonly RegionJobs[];
  /** Items that could not be read, with the reason. */
  readonly unreadable: readonly ReadFailure[];
}

async function readRegion(
  store: Store,
  region: string,
  applied: AppliedConfig,
): Promise<RegionStatus> {
  const stored = await store.get(fleetKey(region));
  if (stored === undefined) {
    return {
      region,
      fleetRevision: undefined,
      budgets: [],
      waves: [],
      lateWaves: {},
      loans: [],
    };
  }
  const record = parseFleetRecord(stored.value);
  const { pausedReason, late } = record.maintenance;
  return {
    region,
    fleetRevision: record.revision,
    budgets: summarizeBudgets(record, applied.config),
    waves: summarizeWaves(record, applied.config),
    ...(pausedReason !== undefined && { pausedReason }),
    lateWaves: late,
    loans: listLoans(record),
  };
}

async function readEntries(
  platform: OperatorPlatform,
): Promise<{ entries: EntryStatus[]; dumps: RegionalDump[] }> {
  const vms = await platform.vmList().list();
  const live = new Set(listLiveEntries(vms));
  const dumps: RegionalDump[] = [];
  const entries = await Promise.all(
    vms.filter((vm) => vm.role === "entry").map(async (vm) => {
      const { region, dataCentre, state } = vm;
      // Keeps the dump for the job counts, so that it is read only once.
      const readDump: typeof platform.readDump = async (address, signal) => {
        const dump = await platform.readDump(address, signal);
        dumps.push({ region, dump });
        return dump;
      };
      const report = live.has(vm)
        ? await readEntryReport(vm, readDump)
        : { entryId: vm.id, revision: undefined };
      return { ...report, state, region, dataCentre };
    }),
  );
  return { entries, dumps };
}

/** Returns the sorted regions of a configuration's pools. */
export function listRegions(applied: AppliedConfig | undefined): string[] {
  return [...new Set(applied?.config.pools.map((pool) => pool.region))].sort();
}

/** Reads the configuration in force; undefined if none was applied. */
export async function readApplied(
  store: Store,
): Promise<AppliedConfig | undefined> {
  const stored = await store.get(CONFIG_KEY);
  return stored && parseAppliedConfig(stored.value);
}

/** Reads the whole status; items that can't be read are listed in `unreadable`. */
export async function readStatus(platform: OperatorPlatform): Promise<Status> {
  const unreadable: ReadFailure[] = [];
  const store = platform.store();
  const [applied, entryResult] = await Promise.all([
    readOrRecordFailure("configuration", unreadable, () => readApplied(store)),
    readOrRecordFailure("VM list", unreadable, () => readEntries(platform)),
  ]);
  const regions = applied === undefined ? [] : await Promise.all(
    listRegions(applied).map((region) =>
      readOrRecordFailure(
        `fleet record of ${region}`,
        unreadable,
        () => readRegion(store, region, applied),
      )
    ),
  );
  const { revision, applyId, appliedAtMs, digest } = applied ?? {};
  return {
    configuration: revision === undefined
      ? undefined
      : { revision, applyId, appliedAtMs, digest } as Status["configuration"],
    regions: regions.filter((region) => region !== undefined),
    entries: entryResult?.entries ?? [],
    jobs: summarizeJobs(entryResult?.dumps ?? [], applied?.config.pools ?? []),
    unreadable,
  };
}

interface Options extends PlatformOptions {
  readonly watch?: boolean;
  readonly intervalMs: number;
  readonly count?: number;
}

async function runStatus(options: Options): Promise<void> {
  const platform = await resolvePlatform(options);
  requireStoreAndVmList(platform);
  const count = options.watch ? options.count ?? Infinity : 1;
  for (let printed = 1; printed <= count; printed++) {
    const status = await readStatus(platform);
    printResult(options, status, formatStatus(status));
    if (printed < count) await delay(options.intervalMs);
  }
}

/** Adds the `status` command. */
export function addStatusCommand(program: Command): void {
  addPlatformOptions(
    program.command("status")
      .description(
        "show the configuration in force, budgets, maintenance, loans, jobs and entries",
      ),
  )
    .option("--watch", "print repeatedly until interrupted")
    .option(
      "--interval-ms <ms>",
      "interval of --watch",
      parseInteger(100),
      2_000,
    )
    .option(
      "--count <number>",
      "stop --watch after this many prints",
      parseInteger(1),
    )
    .action(runStatus);
}
