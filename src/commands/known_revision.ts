import { listLiveEntries, readEntryReport } from "../config/rollout.ts";
import type { KnownRevision } from "../config/revision_check.ts";
import { messageOf } from "../errors.ts";
import type { OperatorPlatform, ReadFailure } from "./context.ts";

/** What the live entries know, and which of them could not be asked. */
export interface KnownRevisionResult {
  readonly known: KnownRevision | undefined;
  readonly unchecked: readonly ReadFailure[];
}

/** Asks each live entry for the highest revision that it knows; never rejects, because a store can be written without them. */
export async function readKnownRevision(
  platform: OperatorPlatform,
): Promise<KnownRevisionResult> {
  const unchecked: ReadFailure[] = [];
  let known: KnownRevision | undefined;
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
      if (revision > (known?.revision ?? 0)) known = { entryId, revision };
    }
  } catch (error) {
    unchecked.push({ what: "the entries", reason: messageOf(error) });
  }
  return { known, unchecked };
}
