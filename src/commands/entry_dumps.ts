import { listLiveEntries } from "../config/rollout.ts";
import type { OperatorPlatform, ReadFailure } from "./context.ts";
import { readOrRecordFailure } from "./context.ts";

/** Timeout for reading the dump of one entry, in ms. */
const DUMP_TIMEOUT_MS = 3_000;

/** The state dump of one entry. */
export interface FetchedDump {
  readonly entryId: string;
  readonly dump: unknown;
}

/** Reads the dumps of all live entries, or of one entry. Failures are added to `unreadable`. */
export async function readDumps(
  platform: OperatorPlatform,
  options: { entryId?: string | undefined; unreadable: ReadFailure[] },
): Promise<FetchedDump[]> {
  const { entryId, unreadable } = options;
  const vms = await platform.vmList().list();
  const entries = entryId === undefined
    ? listLiveEntries(vms)
    : vms.filter((vm) => vm.role === "entry" && vm.id === entryId);
  const dumps = await Promise.all(
    entries.map((vm) =>
      readOrRecordFailure(`dump of ${vm.id}`, unreadable, async () => {
        if (vm.adminAddress === undefined) {
          throw new Error("the VM list has no admin address");
        }
        const signal = AbortSignal.timeout(DUMP_TIMEOUT_MS);
        const dump = await platform.readDump(vm.adminAddress, signal);
        return { entryId: vm.id, dump };
      })
    ),
  );
  return dumps.filter((dump) => dump !== undefined);
}

/** An object found in an entry's dump, with its JSON path. */
export interface DumpMatch {
  readonly entryId: string;
  readonly path: string;
  readonly value: unknown;
}

function findMatches(
  value: unknown,
  path: string,
  matches: (item: Record<string, unknown>, key: string) => boolean,
): { path: string; value: unknown }[] {
  if (typeof value !== "object" || value === null) return [];
  return Object.entries(value).flatMap(([key, child]) => {
    const childPath = Array.isArray(value)
      ? `${path}[${key}]`
      : `${path}.${key}`;
    const isMatch = typeof child === "object" && child !== null &&
      !Array.isArray(child) && matches(child, key);
    return isMatch
      ? [{ path: childPath, value: child }]
      : findMatches(child, childPath, matches);
  });
}

/** Finds the objects of a dump whose key is the id or that have the id in one of the fields. */
export function findInDump(
  { entryId, dump }: FetchedDump,
  fields: readonly string[],
  id: string,
): DumpMatch[] {
  return findMatches(
    dump,
    "$",
    (item, key) => key === id || fields.some((field) => item[field] === id),
  ).map((match) => ({ entryId, ...match }));
}
