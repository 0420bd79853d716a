import type { EntryDigest } from "./messages.ts";
import {
  decodeRecord,
  type DigestProfile,
  type DigestRecord,
  encodeRecord,
  encodeVersionVector,
  extractProfile,
  hashProfile,
  sequenceGap,
  type VersionVector,
} from "./wire.ts";

/** Time without a new digest after which a peer counts as silent, in ms. */
export const SILENCE_TIMEOUT_MS = 3_000;
/**
 * Time for which a silent peer that the VM list shows as live stays a member and
 * keeps its share of the slots, in ms. It may be alive behind a network
 * partition; after this time a hung process is more likely.
 */
export const SILENT_PEER_RETENTION_MS = 30_000;
/** Time for which a dropped peer's last incarnation and sequence number are kept, in ms. */
const DROPPED_PEER_RETENTION_MS = 600_000;
/**
 * Time after which a dropped peer is left out of version vectors, in ms. Their
 * truncated sequence numbers wrap around, so an old one could hide newer digests.
 */
const DROPPED_PEER_LISTING_MS = 60_000;
/** Maximum number of records in one reply; bounds its size. */
const MAXIMUM_REPLY_RECORDS = 16;

/** Evidence on whether a silent peer is still running. */
export type LivenessEvidence =
  | "listed" // The VM list shows it as live, or isn't known yet.
  | "not_listed" // The VM list doesn't show it as live.
  | "refused"; // No process listens at its address.

/** State of one peer, as shown in the dump. */
export interface MemberStatus {
  readonly entryId: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly state: "live" | "silent" | "dropped";
  /** Time since its last newer digest, in ms. */
  readonly silentMs: number;
}

interface Member {
  profileKey: string;
  profile: DigestProfile;
  record: DigestRecord;
  digest: EntryDigest;
  /** Monotonic time at which the last newer digest arrived, in ms. */
  updatedAtMs: number;
  dropped: boolean;
}

/** Digest records received from a peer, and the profiles sent with them. */
export interface ReceivedRecords {
  readonly records: readonly DigestRecord[];
  readonly profiles: readonly DigestProfile[];
}

/** Result of `Membership.merge`. */
export interface MergeResult {
  /** Whether any digest changed in more than its sequence number. */
  readonly changed: boolean;
  /** Whether a record shows a newer incarnation of this entry. */
  readonly superseded: boolean;
}

/** This entry's view of the entries of its region. */
export interface Membership {
  /** Sets this entry's own digest; returns whether it changed in more than its sequence number. */
  setOwnDigest(digest: EntryDigest, nowMs: number): boolean;
  /** Returns this entry's own profile and record; undefined before the first `setOwnDigest`. */
  ownRecord(): { profile: DigestProfile; record: DigestRecord } | undefined;
  /** Stores the received digests of the region's other entries that are newer than the stored ones. */
  merge(received: ReceivedRecords, nowMs: number): MergeResult;
  /** Returns the sequence numbers that this entry has, encoded for a request. */
  versionVector(nowMs: number): string;
  /** Returns the records that are newer than a peer's version vector, largest gaps first. */
  selectMissing(versions: VersionVector): ReceivedRecords;
  /** Drops silent peers; returns their entry ids. */
  dropSilentMembers(
    nowMs: number,
    evidence: (entryId: string) => LivenessEvidence,
  ): string[];
  /** Excludes a pause of this process from the silence of its peers. */
  discountPause(pauseMs: number): void;
  /** Returns the digests of all entries that aren't dropped, including this one, ordered by entry id. */
  digests(): readonly EntryDigest[];
  /** Returns the state of every member, including dropped ones. */
  status(nowMs: number): readonly MemberStatus[];
}

/** Encodes a record without its sequence number, for comparison. */
function encodeContent([key, _sequence, ...content]: DigestRecord): string {
  return key + JSON.stringify(content);
}

/** Creates the membership of a region; it has no member yet. */
export function createMembership(
  self: { entryId: string; region: string; incarnation: string },
): Membership {
  const members = new Map<string, Member>();

  /** Adds or updates a member; returns whether its digest changed in more than its sequence number. */
  function upsertMember(
    profile: DigestProfile,
    record: DigestRecord,
    nowMs: number,
  ): boolean {
    const previous = members.get(profile.entryId);
    members.set(profile.entryId, {
      profileKey: record[0],
      profile,
      record,
      digest: decodeRecord(record, profile),
      updatedAtMs: nowMs,
      dropped: false,
    });
    return previous === undefined || previous.dropped ||
      encodeContent(previous.record) !== encodeContent(record);
  }

  type RecordClass = "newer" | "outdated" | "superseded" | "other_region";

  function classifyRecord(
    profile: DigestProfile,
    record: DigestRecord,
  ): RecordClass {
    if (profile.region !== self.region) return "other_region";
    if (profile.entryId === self.entryId) {
      return profile.incarnation > self.incarnation ? "superseded" : "outdated";
    }
    const member = members.get(profile.entryId);
    if (
      member === undefined || profile.incarnation > member.profile.incarnation
    ) return "newer";
    if (profile.incarnation < member.profile.incarnation) return "outdated";
    return record[1] > member.record[1] ? "newer" : "outdated";
  }

  function removeExpiredMembers(nowMs: number): void {
    for (const [id, member] of members) {
      const isExpired = nowMs - member.updatedAtMs > DROPPED_PEER_RETENTION_MS;
      if (member.dropped && isExpired) members.delete(id);
    }
  }

  return {
    setOwnDigest(digest, nowMs) {
      const profile = extractProfile(digest);
      return upsertMember(profile, encodeRecord(digest, profile), nowMs);
    },
    ownRecord: () => members.get(self.entryId),

    merge({ records, profiles }, nowMs) {
      const byKey = new Map(
        [...members.values()].map((item) => [item.profileKey, item.profile]),
      );
      for (const profile of profiles) byKey.set(hashProfile(profile), profile);
      let changed = false;
      let superseded = false;
      for (const record of records) {
        const profile = byKey.get(record[0]);
        // An unknown profile arrives with the reply to one of this entry's own requests.
        if (profile === undefined) continue;
        const recordClass = classifyRecord(profile, record);
        if (recordClass === "newer") {
          changed = upsertMember(profile, record, nowMs) || changed;
        }
        if (recordClass === "superseded") superseded = true;
      }
      return { changed, superseded };
    },

    versionVector(nowMs) {
      const listed = [...members.values()].filter((member) =>
        !member.dropped || nowMs - member.updatedAtMs < DROPPED_PEER_LISTING_MS
      );
      return encodeVersionVector(
        new Map(listed.map((member) => [member.profileKey, member.record[1]])),
      );
    },

    selectMissing(versions) {
      const gap = (member: Member) => {
        const peerSequence = versions.get(member.profileKey);
        return peerSequence === undefined
          ? Infinity
          : sequenceGap(member.record[1], peerSequence);
      };
      const missing = [...members.values()]
        .filter((member) => !member.dropped && gap(member) > 0)
        .sort((a, b) => gap(a) === gap(b) ? 0 : gap(b) - gap(a))
        .slice(0, MAXIMUM_REPLY_RECORDS);
      return {
        records: missing.map((member) => member.record),
        profiles: missing.filter((member) => !versions.has(member.profileKey))
          .map((member) => member.profile),
      };
    },

    dropSilentMembers(nowMs, evidence) {
      const dropped: string[] = [];
      for (const [id, member] of members) {
        const silentMs = nowMs - member.updatedAtMs;
        if (
          id === self.entryId || member.dropped || silentMs < SILENCE_TIMEOUT_MS
        ) continue;
        const isRetained = evidence(id) === "listed" &&
          !member.digest.stopping && silentMs < SILENT_PEER_RETENTION_MS;
        if (isRetained) continue;
        member.dropped = true;
        dropped.push(id);
      }
      removeExpiredMembers(nowMs);
      return dropped;
    },

    discountPause(pauseMs) {
      for (const member of members.values()) member.updatedAtMs += pauseMs;
    },

    digests: () =>
      [...members.values()].filter((member) => !member.dropped)
        .map((member) => member.digest)
        .sort((a, b) => a.entryId < b.entryId ? -1 : 1),

    status: (nowMs) =>
      [...members.values()].map((member) => {
        const silentMs = nowMs - member.updatedAtMs;
        return {
          entryId: member.profile.entryId,
          incarnation: member.profile.incarnation,
          sequence: member.record[1],
          state: member.dropped
            ? "dropped"
            : silentMs < SILENCE_TIMEOUT_MS
            ? "live"
            : "silent",
          silentMs: Math.round(silentMs),
        };
      }),
  };
}
