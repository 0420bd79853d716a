import type { EntryDigest } from "./messages.ts";

/** How the current digest differs from the one that was published last. */
export type DigestChange =
  | "none"
  | "load" // A small change of load values, which can wait for the next regular round.
  | "demand" // Would change slot shares noticeably; sent early if the digest credit allows.
  | "state"; // A change of revisions, flags or drains, which is always sent at once.

/** Minimum change of a service's demand that is sent early, in slots. */
const LARGE_DEMAND_CHANGE_SLOTS = 4;
/** Minimum change of a service's demand that is sent early, relative to the value sent last. */
const LARGE_DEMAND_CHANGE_RATIO = 0.5;

function hasDrainedVm(previous: EntryDigest, current: EntryDigest): boolean {
  return Object.entries(previous.drainingInFlight).some(([vmId, count]) =>
    count > 0 && (current.drainingInFlight[vmId] ?? 0) === 0
  );
}

function hasNewLeavingVm(previous: EntryDigest, current: EntryDigest) {
  return current.leavingVms.some((vmId) => !previous.leavingVms.includes(vmId));
}

function hasLargeDemandChange(previous: EntryDigest, current: EntryDigest) {
  const serviceNames = new Set([
    ...Object.keys(previous.services),
    ...Object.keys(current.services),
  ]);
  return [...serviceNames].some((name) => {
    const before = previous.services[name];
    const after = current.services[name];
    const sentSlots = before?.demandSlots ?? 0;
    const difference = Math.abs((after?.demandSlots ?? 0) - sentSlots);
    const queueStarted = (before?.waiting ?? 0) === 0 &&
      (after?.waiting ?? 0) > 0;
    return queueStarted ||
      difference >=
        Math.max(
          LARGE_DEMAND_CHANGE_SLOTS,
          sentSlots * LARGE_DEMAND_CHANGE_RATIO,
        );
  });
}

/** Compares the last published digest with the current one; ignores sequence numbers. */
export function classifyDigestChange(
  previous: EntryDigest,
  current: EntryDigest,
): DigestChange {
  const stateChanged = previous.configRevision !== current.configRevision ||
    previous.fleetRevision !== current.fleetRevision ||
    previous.ready !== current.ready ||
    previous.stopping !== current.stopping ||
    previous.callerAddress !== current.callerAddress ||
    hasDrainedVm(previous, current) || hasNewLeavingVm(previous, current);
  if (stateChanged) return "state";
  if (hasLargeDemandChange(previous, current)) return "demand";
  const encodeLoad = (digest: EntryDigest) =>
    JSON.stringify([
      digest.services,
      digest.drainingInFlight,
      digest.leavingVms,
    ]);
  return encodeLoad(previous) === encodeLoad(current) ? "none" : "load";
}
