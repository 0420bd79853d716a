import { formatJobs } from "./job_status.ts";
import type { EntryStatus, RegionStatus, Status } from "./status.ts";

function formatMissing(missing: Readonly<Record<string, number>>): string {
  return Object.entries(missing).map(([state, count]) => `, ${count} ${state}`)
    .join("");
}

function formatRegion(region: RegionStatus): string[] {
  if (region.fleetRevision === undefined) {
    return [`region ${region.region}: no fleet record yet`];
  }
  const lines = [
    `region ${region.region}: fleet revision ${region.fleetRevision}`,
  ];
  for (const budget of region.budgets) {
    const state = budget.marginVms < 0 ? "  BUDGET SHORT" : "";
    lines.push(
      `  pool ${budget.pool} (${budget.team}): ${budget.ownServingVms} of ` +
        `${budget.ownedVms} own VMs serving, minimum ${budget.minimumServingVms}, ` +
        `${budget.lentVms} lent, ${budget.borrowedVms} borrowed` +
        formatMissing(budget.missing) + state,
    );
  }
  if (region.pausedReason !== undefined) {
    lines.push(`  maintenance paused: ${region.pausedReason}`);
  }
  for (const wave of region.waves) {
    const progress = wave.inProgress.length === 0
      ? ""
      : `; in progress: ${wave.inProgress.join(", ")}`;
    const end = wave.endMs === undefined
      ? "no wave yet"
      : `wave until ${new Date(wave.endMs).toISOString()}`;
    lines.push(
      `  maintenance ${wave.pool}: ${end}, ${wave.maintainedVms} done, ` +
        `${wave.remainingVms} remaining${progress}`,
    );
  }
  for (const [pool, reason] of Object.entries(region.lateWaves)) {
    lines.push(`  maintenance ${pool} can't finish in its period: ${reason}`);
  }
  for (const loan of region.loans) {
    const target = loan.targetPool === undefined
      ? ""
      : `, moving to ${loan.targetPool}`;
    lines.push(
      `  loan ${loan.vmId}: of ${loan.homePool}, in ${loan.pool}${target} (${loan.state})` +
        (loan.reason === undefined ? "" : `: ${loan.reason}`),
    );
  }
  return lines;
}

function formatEntry(entry: EntryStatus): string {
  const location = `${entry.region}/${entry.dataCentre}`;
  if (entry.state === "leaving") {
    return `entry ${entry.entryId} (${location}): leaving`;
  }
  return `entry ${entry.entryId} (${location}): ` +
    (entry.failure ?? `configuration revision ${entry.revision}`) +
    (entry.storeBehind === undefined
      ? ""
      : `, sees the store at older revision ${entry.storeBehind.storeRevision}`);
}

/** Formats a warning if entries know a newer revision than the store has. */
function formatStoreBehind(entries: readonly EntryStatus[]): string[] {
  const behindReports = entries.flatMap((entry) => entry.storeBehind ?? []);
  if (behindReports.length === 0) return [];
  const newestRevision = Math.max(
    ...behindReports.map((item) => item.knownRevision),
  );
  return [
    `STORE BEHIND: ${behindReports.length} entries know revision ${newestRevision}, the store ` +
    `holds an older one; apply with --above-revision ${newestRevision}`,
  ];
}

/** Formats the status as text lines. */
export function formatStatus(status: Status): string[] {
  const { configuration } = status;
  const lines = status.unreadable.map((failure) =>
    `unreadable: ${failure.what}: ${failure.reason}`
  );
  if (configuration !== undefined) {
    lines.push(
      `configuration: revision ${configuration.revision}, applied ` +
        `${
          new Date(configuration.appliedAtMs).toISOString()
        }, apply id ${configuration.applyId}`,
    );
  } else if (
    !status.unreadable.some((failure) => failure.what === "configuration")
  ) {
    lines.push("configuration: none applied yet");
  }
  return [
    ...lines,
    ...formatStoreBehind(status.entries),
    ...status.regions.flatMap(formatRegion),
    ...status.jobs.flatMap(formatJobs),
    ...status.entries.map(formatEntry),
  ];
}
