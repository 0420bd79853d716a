import { mkdtemp, rm } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { InvariantChecker } from "../fake_task_workers.ts";
import { createRandom } from "../random.ts";
import { type Callers, createCallers } from "./callers.ts";
import { createConfigWriter } from "./deployment_config.ts";
import { createEntryProcesses } from "./entry_processes.ts";
import { createFaultInjector } from "./fault_injection.ts";
import { startSoakPlatform } from "./soak_platform.ts";
import { createSoakRun, type SoakRun } from "./soak_run.ts";
import { monitorTaskStarts } from "./task_start_monitor.ts";

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  /** Whether the configuration defines workspaces. */
  readonly hasWorkspaces: boolean;
  readonly entries: number;
  readonly vms: number;
  /** Duration of fault injection, in ms. */
  readonly faultsMs: number;
  /** Names of the kinds of faults to inject; all if omitted. */
  readonly kinds?: readonly string[] | undefined;
  /** Bundle of the program. */
  readonly program: string;
  /** Parent of the temporary folder for the processes' settings. */
  readonly folder: string;
}

/** Results of a soak run. */
export interface SoakReport {
  readonly seed: number;
  /** Violated invariants, each with the name of its rule. */
  readonly violations: readonly string[];
  /** Injected faults, with the time since the start of the run. */
  readonly faults: readonly string[];
  /** Number of accepted jobs. */
  readonly accepted: number;
  /** Number of refusals with status 503. */
  readonly refused: number;
  /** Number of task starts. */
  readonly starts: number;
  /** Logs of all processes, in the order in which they ended. */
  readonly logs: string;
}

/**
 * Time after the last fault within which every accepted job must end, in ms: leases of 7 s, 13 s to
 * replace an unresponsive owner, and the jobs themselves.
 */
const COMPLETION_TIMEOUT_MS = 45_000;

/** Reads the given jobs until all have ended, and reports those that don't in time. */
async function awaitCompletion(
  run: SoakRun,
  callers: Callers,
  { openJobIds, deadlineMs }: {
    readonly openJobIds: Set<string>;
    /** Monotonic time, in ms. */
    readonly deadlineMs: number;
  },
): Promise<void> {
  while (openJobIds.size > 0 && performance.now() < deadlineMs) {
    const ids = [...openJobIds].slice(0, 12);
    const hasEnded = await Promise.all(ids.map(callers.hasJobEnded));
    ids.forEach((id, index) => hasEnded[index] && openJobIds.delete(id));
    if (!hasEnded.some(Boolean)) await delay(100);
  }
  for (const id of openJobIds) {
    run.reportViolation(
      "LOST",
      `${id} hasn't ended ${COMPLETION_TIMEOUT_MS} ms after the last fault`,
    );
  }
}

/** Runs one seed: starts real scheduler processes against a fake platform in this process, injects faults and checks invariants throughout. */
export async function runSeed(options: SoakOptions): Promise<SoakReport> {
  const random = createRandom(options.seed);
  const checker = new InvariantChecker();
  const platform = await startSoakPlatform({
    random,
    checker,
    hasWorkspaces: options.hasWorkspaces,
  });
  const folder = await mkdtemp(join(options.folder, "soak-"));
  const run = createSoakRun({ random, checker });
  const { program } = options;
  const processes = createEntryProcesses({ run, platform, program, folder });
  const callers = createCallers({ run, platform, processes });
  const writeConfig = createConfigWriter(platform);
  const injector = createFaultInjector({
    run,
    platform,
    processes,
    writeConfig,
    kinds: options.kinds,
  });

  try {
    platform.addVms(options.vms);
    writeConfig();
    await processes.startAll(options.entries);
    const startMonitor = monitorTaskStarts({ run, platform });
    const traffic = callers.runTraffic();
    await delay(1_500);
    const endMs = performance.now() + options.faultsMs;
    while (performance.now() < endMs) {
      injector.inject();
      await delay(100 + random.nextInteger(1_500));
    }
    injector.restoreAll();
    await delay(1_000);
    run.stopping = true;
    await traffic;
    const deadlineMs = performance.now() + COMPLETION_TIMEOUT_MS;
    const openJobIds = new Set(run.outcomes.targetsByJobId.keys());
    run.stopping = false;
    processes.startMissing();
    await awaitCompletion(run, callers, { openJobIds, deadlineMs });
    clearInterval(startMonitor);
  } finally {
    run.stopping = true;
    await processes.killAll();
    platform.stop();
    await processes.close();
    await platform.closeServers();
    await rm(folder, { recursive: true });
  }
  return {
    seed: options.seed,
    violations: checker.violations,
    faults: injector.faults,
    accepted: run.outcomes.targetsByJobId.size,
    refused: run.outcomes.refusalCount,
    starts: checker.starts,
    logs: processes.logs.join(""),
  };
}
