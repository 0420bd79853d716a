import { listLiveEntries, readEntryReport } from "../config/rollout.ts";
import type { KnownRevision } from "../config/revision_check.ts";
import { messageOf } from "../errors.ts";
import type { OperatorPlatform, ReadFailure } from "./context.ts";

/** Highest revision known to the live entries, and the entries that could not be read. */
export interface KnownRevisionResult {
  readonly highest: KnownRevision | undefined;
  readonly unchecked: readonly ReadFailure[];
}

/** Reads the highest revision known to any live entry. Never rejects, because the store can be written without the entries. */
export async function readKnownRevision(
  platform: OperatorPlatform,
): Promise<KnownRevisionResult> {
  const unchecked: ReadFailure[] = [];
  let highest: KnownRevision | undefined;
  try {
    const entries = listLiveEntries(await platform.vmList().list());
    const reports = await Promise.all(
      entries.map((vm) => readEntryReport(vm, platform.readDump)),
    );
    for (const report of reports) {
      const { entryId, failure } = report;
      const revision = report.recordedRevision ?? report.revision ?? 0;
      if (failure !== undefined) {
        unchecked.push({ what: `entry ${entryId}`, reason: failure });
      }
      if (revision > (highest?.revision ?? 0)) highest = { entryId, revision };
    }
  } catch (error) {
    unchecked.push({ what: "the entries", reason: messageOf(error) });
  }
  return { highest, unchecked };
}
