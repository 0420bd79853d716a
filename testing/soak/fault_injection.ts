import type { EntryProcesses } from "./entry_processes.ts";
import { listFaultKinds } from "./fault_kinds.ts";
import type { SoakPlatform } from "./soak_platform.ts";
import type { SoakRun } from "./soak_run.ts";

/** Injects random faults. */
export interface FaultInjector {
  /** Injected faults, with the time since the start of the run. */
  readonly faults: readonly string[];
  /** Injects one random fault. It ends after a random time or with the fault phase, and may overlap with other faults. */
  inject(): void;
  /** Ends all faults. */
  restoreAll(): void;
}

/** Creates the fault injector of a run. */
export function createFaultInjector(
  { run, platform, processes, writeConfig, kinds }: {
    readonly run: SoakRun;
    readonly platform: SoakPlatform;
    readonly processes: EntryProcesses;
    /** Writes the next version of the configuration. */
    readonly writeConfig: () => void;
    /** Names of the kinds to inject; undefined for all. */
    readonly kinds: readonly string[] | undefined;
  },
): FaultInjector {
  const { random } = run;
  const faults: string[] = [];
  const pendingRestores: (() => void)[] = [];

  return {
    faults,
    inject() {
      const entry = processes.choose();
      const durationMs = 200 + random.nextInteger(4_000);
      const faultKinds = listFaultKinds({
        run,
        platform,
        processes,
        writeConfig,
        entry,
        durationMs,
        faultNumber: faults.length + 1,
        restoreLater(restore, afterMs = durationMs) {
          pendingRestores.push(restore);
          setTimeout(restore, afterMs).unref();
        },
      }).filter(({ name }) => kinds?.includes(name) ?? true);
      if (faultKinds.length === 0) {
        throw new Error(`no kind of fault is named ${kinds?.join(" or ")}`);
      }
      const { name, inject } = faultKinds[
        random.nextInteger(
          faultKinds.length,
        )
      ]!;
      faults.push(
        `${run.elapsedMs()} ms: ${name} ${entry.id} ${durationMs} ms`,
      );
      inject();
    },
    restoreAll: () => pendingRestores.forEach((restore) => restore()),
  };
}
