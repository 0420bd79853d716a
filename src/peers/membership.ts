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
 * Time for which a silent peer that the VM list shows as live keeps its share,
 * in ms. It may be alive behind a partition; after this time a hung process is
 * the more likely reason.
 */
export const SILENT_PEER_RETENTION_MS = 30_000;
/** Time for which a dropped peer's last incarnation and sequence are kept, in ms. */
const DROPPED_PEER_RETENTION_MS = 600_000;
/** Time after which a dropped peer is left out of version lists; sequence numbers wrap around in them, in ms. */
const DROPPED_PEER_LISTING_MS = 60_000;
/** Most records in one answer, which bounds its size. */
const MAXIMUM_REPLY_RECORDS = 16;

/** What is known about a silent peer besides its silence. */
export type LivenessEvidence = "listed" | "not_listed" | "refused";

/** State of one peer, as shown in the dump. */
export interface MemberStatus {
  readonly entryId: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly state: "live" | "silent" | "dropped";
  /** Time since its last new digest, in ms. */
  readonly silentMs: number;
}

interface Member {
  profileKey: string;
  profile: DigestProfile;
  record: DigestRecord;
  digest: EntryDigest;
  /** Monotonic time at which the sequence last grew, in ms. */
  updatedAtMs: number;
  dropped: boolean;
}

/** Records received from a peer, with the profiles that came along. */
export interface ReceivedRecords {
  readonly records: readonly DigestRecord[];
  readonly profiles: readonly DigestProfile[];
}

/** Result of merging received records. */
export interface MergeResult {
  /** Whether a digest differs in more than its sequence number. */
  readonly changed: boolean;
  /** A newer incarnation of this entry was among the records. */
  readonly superseded: boolean;
}

/** The region's entries as this entry knows them. */
export interface Membership {
  /** Sets this entry's own digest; returns whether it differs in more than its sequence number. */
  setOwn(digest: EntryDigest, nowMs: number): boolean;
  own(): { profile: DigestProfile; record: DigestRecord } | undefined;
  merge(received: ReceivedRecords, nowMs: number): MergeResult;
  /** Sequence numbers held, encoded for a request. */
  versionVector(nowMs: number): string;
  /** Returns what a peer with these sequence numbers lacks, the largest gaps first. */
  selectMissing(versions: VersionVector): ReceivedRecords;
  /** Drops silent peers; returns their ids. */
  dropSilentMembers(
    nowMs: number,
    evidence: (entryId: string) => LivenessEvidence,
  ): string[];
  /** Disregards a time in which this process didn't run. */
  discountPause(pauseMs: number): void;
  /** Digests of the entries that aren't dropped, this one included, ordered by id. */
  digests(): readonly EntryDigest[];
  status(nowMs: number): readonly MemberStatus[];
}

/** The record without its sequence number, as text. */
function encodeContent([key, _sequence, ...content]: DigestRecord): string {
  return key + JSON.stringify(content);
}

/** Creates the membership of one region with no other entry in it. */
export function createMembership(
  self: { entryId: string; region: string; incarnation: string },
): Membership {
  const members = new Map<string, Member>();

  /** Returns whether the digest differs in more than its sequence number. */
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

  type RecordClass = "newer" | "outdated" | "superseded" | "foreign";

  function classifyRecord(
    profile: DigestProfile,
    record: DigestRecord,
  ): RecordClass {
    if (profile.region !== self.region) return "foreign";
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
    setOwn(digest, nowMs) {
      const profile = extractProfile(digest);
      return upsertMember(profile, encodeRecord(digest, profile), nowMs);
    },
    own: () => members.get(self.entryId),

    merge({ records, profiles }, nowMs) {
      const byKey = new Map(
        [...members.values()].map((
          member,
        ) => [member.profileKey, member.profile]),
      );
      for (const profile of profiles) byKey.set(hashProfile(profile), profile);
      let changed = false;
      let superseded = false;
      for (const record of records) {
        const profile = byKey.get(record[0]);
        // The profile comes with an answer to one of this entry's own requests.
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
        const known = versions.get(member.profileKey);
        return known === undefined
          ? Infinity
          : sequenceGap(member.record[1], known);
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
