import { test } from "uvu";
import * as assert from "uvu/assert";
import { createDigest, REGION } from "../../testing/fleet_simulation.ts";
import { createFleetRecord } from "../fleet/record.ts";
import type { EntryDigest } from "../peers/messages.ts";
import { SHARD_COUNT } from "./job_key.ts";
import { ownerOf } from "./ownership.ts";

const IDS = ["a", "b", "c"];

function digestOf(id: string, changes: Partial<EntryDigest> = {}): EntryDigest {
  const record = createFleetRecord(REGION);
  return { ...createDigest(id, record, new Map(), new Map()), ...changes };
}

const ownersSeenBy = (entryId: string, digests: readonly EntryDigest[]) =>
  Array.from(
    { length: SHARD_COUNT },
    (_, shard) => ownerOf(shard, { entryId, region: REGION }, digests).entryId,
  );

// Guards against entries that choose different owners, and against shards
// assigned to an entry that can't run them.
test("all entries choose the same owners", () => {
  const digests = IDS.map((id) => digestOf(id));
  const owners = ownersSeenBy("a", digests);
  assert.equal([...new Set(owners)].sort(), IDS);
  for (const id of IDS) assert.equal(ownersSeenBy(id, digests), owners);
  const unfit: Partial<EntryDigest>[] = [
    { stopping: true },
    { ready: false },
    { callerAddress: "" },
    { region: "south" },
  ];
  for (const changes of unfit) {
    const changed = [...digests.slice(0, 2), digestOf("c", changes)];
    const left = ownersSeenBy("a", changed);
    left.forEach((owner, shard) => {
      const before = owners[shard];
      if (before === "c") assert.is.not(owner, "c");
      else assert.is(owner, before, "only the shards of c move");
    });
  }
  const stopping = [digestOf("a", { stopping: true }), digestOf("b")];
  assert.not(ownersSeenBy("a", stopping).includes("a"));
  assert.equal(new Set(ownersSeenBy("a", [])), new Set(["a"]));
});

test.run();
