import type { EntryDigest } from "./messages.ts";
import {
  decodeRecord,
  type DigestRecord,
  encodeRecord,
  encodeVersions,
  type Profile,
  profileKey,
  profileOf,
  sequenceGap,
  type Versions,
} from "./wire.ts";

/** Time without a new digest after which a peer counts as silent, in ms. */
export const SILENCE_LIMIT_MS = 3_000;
/**
 * Time for which a silent peer that the VM list shows as live keeps its share,
 * in ms. It may be alive behind a partition; after this time a hung process is
 * the more likely reason.
 */
export const SILENT_PEER_KEPT_MS = 30_000;
/** Time for which a dropped peer's last incarnation and sequence are kept, in ms. */
const DROPPED_PEER_MEMORY_MS = 600_000;
/** Time after which a dropped peer is left out of version lists; sequence numbers wrap around in them, in ms. */
const DROPPED_PEER_LISTED_MS = 60_000;
/** Most records in one answer, which bounds its size. */
const MAXIMUM_RECORDS = 16;

/** What is known about a silent peer besides its silence. */
export type SilenceEvidence = "listed" | "not_listed" | "refused";

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
  key: string;
  profile: Profile;
  record: DigestRecord;
  digest: EntryDigest;
  /** Monotonic time at which the sequence last grew, in ms. */
  advancedAtMs: number;
  dropped: boolean;
}

/** Records received from a peer, with the profiles that came along. */
export interface ReceivedRecords {
  readonly records: readonly DigestRecord[];
  readonly profiles: readonly Profile[];
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
  own(): { profile: Profile; record: DigestRecord } | undefined;
  merge(received: ReceivedRecords, nowMs: number): MergeResult;
  /** Sequence numbers held, encoded for a request. */
  versions(nowMs: number): string;
  /** Returns what a peer with these sequence numbers lacks, the largest gaps first. */
  missingFrom(versions: Versions): ReceivedRecords;
  /** Drops silent peers; returns their ids. */
  dropSilent(
    nowMs: number,
    evidence: (entryId: string) => SilenceEvidence,
  ): string[];
  /** Disregards a time in which this process didn't run. */
  excusePause(pauseMs: number): void;
  /** Digests of the entries that aren't dropped, this one included, ordered by id. */
  digests(): readonly EntryDigest[];
  status(nowMs: number): readonly MemberStatus[];
}

/** The record without its sequence number, as text. */
function contentOf([key, _sequence, ...content]: DigestRecord): string {
  return key + JSON.stringify(content);
}

/** Creates the membership of one region with no other entry in it. */
export function createMembership(
  self: { entryId: string; region: string; incarnation: string },
): Membership {
  const members = new Map<string, Member>();

  /** Returns whether the digest differs in more than its sequence number. */
  function replace(
    profile: Profile,
    record: DigestRecord,
    nowMs: number,
  ): boolean {
    const previous = members.get(profile.entryId);
    members.set(profile.entryId, {
      key: record[0],
      profile,
      record,
      digest: decodeRecord(record, profile),
      advancedAtMs: nowMs,
      dropped: false,
    });
    return previous === undefined || previous.dropped ||
      contentOf(previous.record) !== contentOf(record);
  }

  type Verdict = "newer" | "outdated" | "superseded" | "foreign";

  function judge(profile: Profile, record: DigestRecord): Verdict {
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

  function forgetOldMembers(nowMs: number): void {
    for (const [id, member] of members) {
      const isOld = nowMs - member.advancedAtMs > DROPPED_PEER_MEMORY_MS;
      if (member.dropped && isOld) members.delete(id);
    }
  }

  return {
    setOwn(digest, nowMs) {
      const profile = profileOf(digest);
      return replace(profile, encodeRecord(digest, profile), nowMs);
    },
    own: () => members.get(self.entryId),

    merge({ records, profiles }, nowMs) {
      const known = new Map(
        [...members.values()].map((member) => [member.key, member.profile]),
      );
      for (const profile of profiles) known.set(profileKey(profile), profile);
      let changed = false;
      let superseded = false;
      for (const record of records) {
        const profile = known.get(record[0]);
        // The profile comes with an answer to one of this entry's own requests.
        if (profile === undefined) continue;
        const verdict = judge(profile, record);
        if (verdict === "newer") {
          changed = replace(profile, record, nowMs) || changed;
        }
        if (verdict === "superseded") superseded = true;
      }
      return { changed, superseded };
    },

    versions(nowMs) {
      const listed = [...members.values()].filter((member) =>
        !member.dropped || nowMs - member.advancedAtMs < DROPPED_PEER_LISTED_MS
      );
      return encodeVersions(
        new Map(listed.map((member) => [member.key, member.record[1]])),
      );
    },

    missingFrom(versions) {
      const gap = (member: Member) => {
        const known = versions.get(member.key);
        return known === undefined
          ? Infinity
          : sequenceGap(member.record[1], known);
      };
      const missing = [...members.values()]
        .filter((member) => !member.dropped && gap(member) > 0)
        .sort((a, b) => gap(a) === gap(b) ? 0 : gap(b) - gap(a))
        .slice(0, MAXIMUM_RECORDS);
      return {
        records: missing.map((member) => member.record),
        profiles: missing.filter((member) => !versions.has(member.key))
          .map((member) => member.profile),
      };
    },

    dropSilent(nowMs, evidence) {
      const dropped: string[] = [];
      for (const [id, member] of members) {
        const silentMs = nowMs - member.advancedAtMs;
        if (
          id === self.entryId || member.dropped || silentMs < SILENCE_LIMIT_MS
        ) continue;
        const isKept = evidence(id) === "listed" &&
          !member.digest.stopping && silentMs < SILENT_PEER_KEPT_MS;
        if (isKept) continue;
        member.dropped = true;
        dropped.push(id);
      }
      forgetOldMembers(nowMs);
      return dropped;
    },

    excusePause(pauseMs) {
      for (const member of members.values()) member.advancedAtMs += pauseMs;
    },

    digests: () =>
      [...members.values()].filter((member) => !member.dropped)
        .map((member) => member.digest)
        .sort((a, b) => a.entryId < b.entryId ? -1 : 1),

    status: (nowMs) =>
      [...members.values()].map((member) => {
        const silentMs = nowMs - member.advancedAtMs;
        return {
          entryId: member.profile.entryId,
          incarnation: member.profile.incarnation,
          sequence: member.record[1],
          state: member.dropped
            ? "dropped"
            : silentMs < SILENCE_LIMIT_MS
            ? "live"
            : "silent",
          silentMs: Math.round(silentMs),
        };
      }),
  };
}
