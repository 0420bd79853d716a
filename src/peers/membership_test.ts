import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  createMembership,
  type Membership,
  SILENCE_TIMEOUT_MS,
  SILENT_PEER_RETENTION_MS,
} from "./membership.ts";
import type { EntryDigest } from "./messages.ts";
import {
  decodeRecord,
  decodeVersionVector,
  encodeRecord,
  extractProfile,
  sequenceGap,
} from "./wire.ts";

const test = suite("membership");
const EMPTY_VECTOR = decodeVersionVector("");

function digest(fields: Partial<EntryDigest>): EntryDigest {
  return {
    entryId: "entry-2",
    incarnation: "1",
    sequence: 1,
    region: "khomas",
    peerAddress: "127.0.0.1:2",
    callerAddress: "127.0.0.1:3",
    ready: true,
    stopping: false,
    configRevision: 0,
    fleetRevision: 0,
    services: { quoting: { inFlight: 3, waiting: 2, demandSlots: 4.5 } },
    drainingInFlight: { "vm-1": 2 },
    leavingVms: ["vm-2"],
    ...fields,
  };
}

function createMembershipWith(...digests: EntryDigest[]): Membership {
  const membership = createMembership({
    entryId: "entry-1",
    region: "khomas",
    incarnation: "5",
  });
  for (const item of digests) receive(membership, item);
  return membership;
}

function receive(membership: Membership, item: EntryDigest, nowMs = 0) {
  const profile = extractProfile(item);
  const records = [encodeRecord(item, profile)];
  return membership.merge({ records, profiles: [profile] }, nowMs);
}

test("a decoded digest equals the encoded one", () => {
  const item = digest({});
  const profile = extractProfile(item);
  assert.equal(decodeRecord(encodeRecord(item, profile), profile), item);
});

test("an older or repeated digest doesn't replace a newer one", () => {
  const membership = createMembershipWith(
    digest({ sequence: 7, configRevision: 7 }),
  );
  assert.is(receive(membership, digest({ sequence: 6 })).changed, false);
  assert.is(receive(membership, digest({ sequence: 7 })).changed, false);
  assert.is(membership.digests()[0]?.configRevision, 7);
});

test("an older incarnation is ignored whatever its sequence number, also after its successor was dropped", () => {
  const membership = createMembershipWith(digest({ incarnation: "2" }));
  const old = digest({ incarnation: "1", sequence: 900 });
  assert.is(receive(membership, old).changed, false);
  membership.dropSilentMembers(SILENCE_TIMEOUT_MS, () => "refused");
  receive(membership, old, SILENCE_TIMEOUT_MS);
  assert.equal(membership.digests(), []);
  receive(membership, digest({ incarnation: "3" }));
  assert.is(membership.digests()[0]?.incarnation, "3");
});

test("digests from another region or with this entry's id are ignored", () => {
  const membership = createMembershipWith(digest({ region: "other" }));
  const result = receive(
    membership,
    digest({ entryId: "entry-1", incarnation: "6" }),
  );
  assert.is(result.superseded, true);
  assert.equal(membership.digests(), []);
});

test("a silent peer is dropped when there is evidence that it ended, and kept while it may be partitioned", () => {
  for (const evidence of ["refused", "not_listed"] as const) {
    const membership = createMembershipWith(digest({}));
    const drop = (nowMs: number) =>
      membership.dropSilentMembers(nowMs, () => evidence);
    assert.equal(drop(SILENCE_TIMEOUT_MS - 1), []);
    assert.equal(drop(SILENCE_TIMEOUT_MS), ["entry-2"]);
    assert.equal(membership.digests(), []);
  }
  const membership = createMembershipWith(digest({}));
  assert.equal(
    membership.dropSilentMembers(SILENT_PEER_RETENTION_MS - 1, () => "listed"),
    [],
  );
  assert.equal(
    membership.dropSilentMembers(SILENT_PEER_RETENTION_MS, () => "listed"),
    [
      "entry-2",
    ],
  );
});

test("a dropped peer isn't forwarded and rejoins only with a newer digest", () => {
  const membership = createMembershipWith(digest({ sequence: 5 }));
  membership.dropSilentMembers(SILENCE_TIMEOUT_MS, () => "refused");
  assert.equal(membership.selectMissing(EMPTY_VECTOR).records, []);
  receive(membership, digest({ sequence: 5 }));
  assert.is(membership.digests().length, 0);
  receive(membership, digest({ sequence: 6 }));
  assert.is(membership.digests().length, 1);
});

test("a pause of this process doesn't make its peers silent", () => {
  const membership = createMembershipWith(digest({}));
  membership.discountPause(60_000);
  assert.equal(membership.dropSilentMembers(60_000, () => "not_listed"), []);
});

test("a peer gets exactly the records missing from its version vector, also after a wrap-around", () => {
  const membership = createMembershipWith(digest({ sequence: 1_295 }));
  const versions = decodeVersionVector(membership.versionVector(0));
  assert.equal(membership.selectMissing(versions).records, []);
  receive(membership, digest({ sequence: 1_297 }));
  assert.is(membership.selectMissing(versions).records.length, 1);
  assert.equal(membership.selectMissing(versions).profiles, []);
  assert.is(membership.selectMissing(EMPTY_VECTOR).profiles.length, 1);
  assert.is(sequenceGap(1_295, 1), -2);
});

test.run();
