import type { EntryDigest } from "./messages.ts";

/** How much a digest differs from the one sent last. */
export type DigestChange =
  | "none"
  | "load" // Load figures differ a little; the next regular round is soon enough.
  | "demand" // Slot shares would differ noticeably; sent early if the budget allows.
  | "state"; // Revisions, flags, drains; always sent at once.

/** Smallest change of a service's demand that is sent early, in slots. */
const LARGE_DEMAND_CHANGE_SLOTS = 4;
/** Smallest change of a service's demand that is sent early, relative to the value sent last. */
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

/** Compares the digest sent last with the current one; sequence numbers don't count. */
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
