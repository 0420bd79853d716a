import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import type { Clock } from "../clock.ts";
import { messageOf } from "../errors.ts";
import type { Vm, VmList } from "../ports/vm_list.ts";

/** Reads the state dump of the entry whose admin server listens at an address. */
export type ReadDump = (
  adminAddress: string,
  signal: AbortSignal,
) => Promise<unknown>;

/** What one entry reported about the configuration. */
export interface EntryReport {
  readonly entryId: string;
  /** Revision in force at the entry; 0 when it has none, undefined when it did not answer. */
  readonly revision: number | undefined;
  /** Revision that the entry's fleet record was planned with, if it is higher than the one in force. */
  readonly recordedRevision?: number;
  /** Set while the entry sees the store at an older revision. */
  readonly storeBehind?: z.infer<typeof storeBehindSchema>;
  /** Why there is no revision. */
  readonly failure?: string;
}

const storeBehindSchema = z.object({
  storeRevision: z.number().int(),
  knownRevision: z.number().int(),
  forMs: z.number(),
});

/** Result of waiting for a revision. */
export type RolloutResult =
  | { readonly kind: "in_force"; readonly entries: readonly EntryReport[] }
  | {
    readonly kind: "timed_out";
    readonly pending: readonly EntryReport[];
    readonly failure?: string;
  };

/** What is waited for and with what. */
export interface RolloutOptions {
  readonly vmList: VmList;
  readonly readDump: ReadDump;
  readonly revision: number;
  readonly timeoutMs: number;
  readonly clock: Clock;
}

const POLL_INTERVAL_MS = 50;
/** Time after which one entry's answer counts as missing, in ms. */
const DUMP_TIMEOUT_MS = 1_000;

const dumpSchema = z.object({
  config: z.object({ revision: z.number().int() }).nullish(),
  fleet: z.object({ configRevision: z.number().int() }).nullish(),
  storeBehind: storeBehindSchema.nullish(),
});

/** Returns the live entries of a VM list. */
export function listLiveEntries(vms: readonly Vm[]): readonly Vm[] {
  return vms.filter((vm) => vm.role === "entry" && vm.state === "live");
}

/** Asks one entry for the revision that it has in force. */
export async function readEntryReport(
  vm: Vm,
  readDump: ReadDump,
  timeoutMs = DUMP_TIMEOUT_MS,
): Promise<EntryReport> {
  if (vm.adminAddress === undefined) {
    return {
      entryId: vm.id,
      revision: undefined,
      failure: "the VM list has no admin address",
    };
  }
  try {
    const dump = dumpSchema.parse(
      await readDump(vm.adminAddress, AbortSignal.timeout(timeoutMs)),
    );
    const revision = dump.config?.revision ?? 0;
    const recordedRevision = dump.fleet?.configRevision ?? 0;
    return {
      entryId: vm.id,
      revision,
      ...(recordedRevision > revision && { recordedRevision }),
      ...(dump.storeBehind && { storeBehind: dump.storeBehind }),
    };
  } catch (error) {
    return { entryId: vm.id, revision: undefined, failure: messageOf(error) };
  }
}

/** Waits until every live entry reports a revision; entries that join meanwhile count as well. */
export async function waitForRollout(
  options: RolloutOptions,
): Promise<RolloutResult> {
  const { vmList, readDump, revision, timeoutMs, clock } = options;
  const endMs = clock.monotonicMs() + timeoutMs;
  // By id and incarnation, so that a replaced entry is asked again.
  const upToDate = new Map<string, EntryReport>();
  const lastReports = new Map<string, EntryReport>();
  let pending: readonly EntryReport[] = [];
  let failure: string | undefined = "the VM list shows no live entry";
  while (clock.monotonicMs() < endMs) {
    try {
      const entries = listLiveEntries(await vmList.list());
      const remainingMs = Math.max(1, Math.round(endMs - clock.monotonicMs()));
      const dumpTimeoutMs = Math.min(DUMP_TIMEOUT_MS, remainingMs);
      const reports = await Promise.all(entries.map(async (vm) => {
        const key = `${vm.id}/${vm.incarnation}`;
        const current = upToDate.get(key) ??
          await readEntryReport(vm, readDump, dumpTimeoutMs);
        // A poll that the end of the wait cuts short says nothing about the entry.
        const isTruncated = current.failure !== undefined &&
          dumpTimeoutMs < DUMP_TIMEOUT_MS;
        const report = isTruncated ? lastReports.get(key) ?? current : current;
        lastReports.set(key, report);
        if ((report.revision ?? 0) >= revision) upToDate.set(key, report);
        return report;
      }));
      pending = reports.filter((report) => (report.revision ?? 0) < revision);
      // No entry at all is more likely a wrong or empty list than a finished roll-out.
      if (reports.length > 0 && pending.length === 0) {
        return { kind: "in_force", entries: reports };
      }
      if (reports.length > 0) failure = undefined;
    } catch (error) {
      failure = messageOf(error);
    }
    await delay(POLL_INTERVAL_MS);
  }
  return {
    kind: "timed_out",
    pending,
    ...(failure === undefined ? {} : { failure }),
  };
}
