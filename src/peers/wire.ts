import { createHash } from "node:crypto";
import { z } from "zod";
import type { EntryDigest } from "./messages.ts";

/** Schema of the part of a digest that rarely changes; it is sent once on each link. */
export const digestProfileSchema = z.object({
  entryId: z.string(),
  incarnation: z.string(),
  region: z.string(),
  peerAddress: z.string(),
  callerAddress: z.string(),
  /** Names of the services, in the order of a record's load values. */
  services: z.array(z.string()),
});

/** Part of a digest that rarely changes. */
export type DigestProfile = z.infer<typeof digestProfileSchema>;

/**
 * Schema of the frequently changing part of a digest: profile key, sequence
 * number, flags, configuration revision, fleet revision, load values, draining
 * VMs, leaving VMs. It is a tuple because field names would double the size of a
 * message.
 */
export const digestRecordSchema = z.tuple([
  z.string(),
  z.number().int(),
  z.number().int(),
  z.number().int(),
  z.number().int(),
  z.array(z.number()),
  z.record(z.string(), z.number()),
  z.array(z.string()),
]);

/** Frequently changing part of a digest. */
export type DigestRecord = z.infer<typeof digestRecordSchema>;

/** Sequence number of the latest known digest by profile key. */
export type VersionVector = ReadonlyMap<string, number>;

/** Bits of a record's flags. */
const READY_FLAG = 1;
const STOPPING_FLAG = 2;
/** Load values of each service in a record: `inFlight`, `waiting` and `demandSlots`. */
const VALUES_PER_SERVICE = 3;
/** Characters of a profile key, 24 bits; with 27 entries the probability of a collision is 2 in 100,000. */
const PROFILE_KEY_LENGTH = 4;
/** Base 36 digits to which sequence numbers are truncated in a version vector. */
const SEQUENCE_LENGTH = 2;
const SEQUENCE_MODULUS = 36 ** SEQUENCE_LENGTH;

/** Returns the key of a profile, a truncated hash of its values. */
export function hashProfile(profile: DigestProfile): string {
  const values = [
    profile.entryId,
    profile.incarnation,
    profile.region,
    profile.peerAddress,
    profile.callerAddress,
    ...profile.services,
  ];
  return createHash("sha256").update(JSON.stringify(values)).digest("base64url")
    .slice(0, PROFILE_KEY_LENGTH);
}

/** Returns the part of a digest that rarely changes. */
export function extractProfile(digest: EntryDigest): DigestProfile {
  return {
    entryId: digest.entryId,
    incarnation: digest.incarnation,
    region: digest.region,
    peerAddress: digest.peerAddress,
    callerAddress: digest.callerAddress,
    services: Object.keys(digest.services).sort(),
  };
}

function roundToTenths(value: number): number {
  return Math.round(value * 10) / 10;
}

/** Encodes the frequently changing part of a digest. */
export function encodeRecord(
  digest: EntryDigest,
  profile: DigestProfile,
): DigestRecord {
  const loadValues = profile.services.flatMap((name) => {
    const load = digest.services[name];
    return [
      load?.inFlight ?? 0,
      load?.waiting ?? 0,
      roundToTenths(load?.demandSlots ?? 0),
    ];
  });
  return [
    hashProfile(profile),
    digest.sequence,
    (digest.ready ? READY_FLAG : 0) | (digest.stopping ? STOPPING_FLAG : 0),
    digest.configRevision,
    digest.fleetRevision,
    loadValues,
    digest.drainingInFlight,
    digest.leavingVms,
  ];
}

/** Builds a digest from its two parts. */
export function decodeRecord(
  record: DigestRecord,
  profile: DigestProfile,
): EntryDigest {
  const [_key, sequence, flags, configRevision, fleetRevision] = record;
  const loadValues = record[5];
  const services: EntryDigest["services"] = {};
  for (const [index, name] of profile.services.entries()) {
    const first = index * VALUES_PER_SERVICE;
    services[name] = {
      inFlight: loadValues[first] ?? 0,
      waiting: loadValues[first + 1] ?? 0,
      demandSlots: loadValues[first + 2] ?? 0,
    };
  }
  return {
    entryId: profile.entryId,
    incarnation: profile.incarnation,
    sequence,
    region: profile.region,
    peerAddress: profile.peerAddress,
    callerAddress: profile.callerAddress,
    ready: (flags & READY_FLAG) !== 0,
    stopping: (flags & STOPPING_FLAG) !== 0,
    configRevision,
    fleetRevision,
    services,
    drainingInFlight: record[6],
    leavingVms: record[7],
  };
}

/** Encodes a version vector as a profile key and a truncated sequence number for each entry. */
export function encodeVersionVector(versions: VersionVector): string {
  return [...versions].map(([key, sequence]) =>
    key +
    (sequence % SEQUENCE_MODULUS).toString(36).padStart(SEQUENCE_LENGTH, "0")
  ).join("");
}

/** Decodes a version vector with truncated sequence numbers. */
export function decodeVersionVector(text: string): VersionVector {
  const versions = new Map<string, number>();
  const itemLength = PROFILE_KEY_LENGTH + SEQUENCE_LENGTH;
  for (let start = 0; start < text.length; start += itemLength) {
    const item = text.slice(start, start + itemLength);
    const sequence = Number.parseInt(item.slice(PROFILE_KEY_LENGTH), 36);
    versions.set(item.slice(0, PROFILE_KEY_LENGTH), sequence);
  }
  return versions;
}

/** Returns by how much a sequence number is ahead of a truncated one, with wrap-around; 0 or less if it isn't ahead. */
export function sequenceGap(sequence: number, decoded: number): number {
  const gap = (sequence - decoded) % SEQUENCE_MODULUS;
  return gap > SEQUENCE_MODULUS / 2 ? gap - SEQUENCE_MODULUS : gap;
}

/** Schema of a gossip request. */
export const exchangeRequestSchema = z.object({
  /** Encoded version vector of the sender. */
  have: z.string(),
  record: digestRecordSchema,
  /** Set in the first request after a start, a change of the profile or a failure. */
  profile: digestProfileSchema.optional(),
});

/** Gossip request: the sender's digest and version vector. */
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;

/** Schema of a gossip reply: the records that the sender of the request lacks. */
export const exchangeReplySchema = z.object({
  records: z.array(digestRecordSchema),
  profiles: z.array(digestProfileSchema).optional(),
});

/** Gossip reply: the records that the sender of the request lacks. */
export type ExchangeReply = z.infer<typeof exchangeReplySchema>;

/** Creates an incarnation id; ids of later starts sort after those of earlier ones. */
export function createIncarnation(wallMs: number, random: string): string {
  return `${wallMs.toString(36).padStart(9, "0")}-${random.slice(0, 8)}`;
}

/** Schema of the report that an entry sends to an entry of another region. */
export const configRevisionReportSchema = z.object({
  entryId: z.string(),
  /** `host:port` of the sender's peer server; used if the receiver's VM list doesn't contain the sender. */
  peerAddress: z.string(),
  configRevision: z.number().int(),
});

/** Configuration revision that an entry reports to an entry of another region. */
export type ConfigRevisionReport = z.infer<typeof configRevisionReportSchema>;
