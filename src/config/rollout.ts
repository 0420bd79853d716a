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

/** Configuration revisions that one entry reported. */
export interface EntryReport {
  readonly entryId: string;
  /** Active revision of the entry; 0 if it has none, undefined if it did not respond. */
  readonly revision: number | undefined;
  /** Revision that the entry's fleet record was planned with, if it is higher than the active one. */
  readonly recordedRevision?: number;
  /** Set while the store holds an older revision than the entry knows. */
  readonly storeBehind?: z.infer<typeof storeBehindSchema>;
  /** Why the revision is unknown. */
  readonly failure?: string;
}

const storeBehindSchema = z.object({
  storeRevision: z.number().int(),
  knownRevision: z.number().int(),
  forMs: z.number(),
});

/** Result of waiting for a revision. */
export type RolloutResult =
  /** Every live entry has the revision or a newer one. */
  | { readonly kind: "in_force"; readonly entries: readonly EntryReport[] }
  | {
    readonly kind: "timed_out";
    /** Last reports of the live entries that don't have the revision. */
    readonly pending: readonly EntryReport[];
    /** Why no live entry could be listed. */
    readonly failure?: string;
  };

/** Options of `waitForRollout`. */
export interface RolloutOptions {
  readonly vmList: VmList;
  readonly readDump: ReadDump;
  /** Revision to wait for. */
  readonly revision: number;
  readonly timeoutMs: number;
  readonly clock: Clock;
}

/** Interval between polls of the entries, in ms. */
const POLL_INTERVAL_MS = 50;
/** Timeout for reading one entry's state dump, in ms. */
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

/** Reads the active revision of one entry. */
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

/** Waits until every live entry, including those that join meanwhile, reports the revision or a newer one. */
export async function waitForRollout(
  options: RolloutOptions,
): Promise<RolloutResult> {
  const { vmList, readDump, revision, timeoutMs, clock } = options;
  const endMs = clock.monotonicMs() + timeoutMs;
  // Keyed by ID and incarnation, so that a replaced entry is queried again.
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
        // A failed poll whose timeout was cut short by the end of the wait says nothing about the entry.
        const isTruncated = current.failure !== undefined &&
          dumpTimeoutMs < DUMP_TIMEOUT_MS;
        const report = isTruncated ? lastReports.get(key) ?? current : current;
        lastReports.set(key, report);
        if ((report.revision ?? 0) >= revision) upToDate.set(key, report);
        return report;
      }));
      pending = reports.filter((report) => (report.revision ?? 0) < revision);
      // A list without entries is more likely a fault of the list than a finished rollout.
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
