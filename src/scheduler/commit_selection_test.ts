import assert from "node:assert/strict";
import { suite } from "uvu";
import { type SelectableRecord, selectRecords } from "./commit_selection.ts";

const test = suite("commit selection");

const NONE_IN_FLIGHT = () => false;

function pendingRecords(
  records: Record<string, Partial<SelectableRecord>>,
): Map<string, SelectableRecord> {
  return new Map(
    Object.entries(records).map((
      [key, record],
    ) => [key, { urgent: false, after: undefined, ...record }]),
  );
}

/** Creates `count` records whose keys start with a prefix. */
function numbered(
  prefix: string,
  count: number,
  record: Partial<SelectableRecord> = {},
): Record<string, Partial<SelectableRecord>> {
  return Object.fromEntries(
    Array.from({ length: count }, (_, index) => [`${prefix}${index}`, record]),
  );
}

// Guards against starts that wait behind hundreds of records of ended runs while the store is slow.
test("urgent records go first, and the others fill the commit", () => {
  const pending = pendingRecords({
    ...numbered("end", 40),
    ...numbered("start", 5, { urgent: true }),
  });
  const keys = selectRecords(pending, NONE_IN_FLIGHT, 30);
  assert.deepEqual(
    keys.slice(0, 5),
    Object.keys(numbered("start", 5)),
  );
  assert.deepEqual(keys.slice(5), Object.keys(numbered("end", 25)));
});

// Guards against ends that are never stored while starts fill every commit, so that workers keep listing them.
test("the oldest records get a part of a commit that urgent ones could fill", () => {
  const pending = pendingRecords({
    ...numbered("end", 40),
    ...numbered("start", 40, { urgent: true }),
  });
  const keys = selectRecords(pending, NONE_IN_FLIGHT, 30);
  assert.equal(keys.length, 30);
  assert.equal(keys.filter((key) => key.startsWith("end")).length, 6);
  const starts = pendingRecords(numbered("start", 40, { urgent: true }));
  assert.equal(selectRecords(starts, NONE_IN_FLIGHT, 30).length, 30);
});

// Guards against an older record of a key that replaces a newer one because it is stored by another lane.
test("a key in flight waits", () => {
  const pending = pendingRecords({ a: { urgent: true }, b: {} });
  assert.deepEqual(selectRecords(pending, (key) => key === "a", 30), ["b"]);
});

// Guards against a job that loses its progress record but not its own, so that the next owner runs it again.
test("a record isn't stored before the one that it must follow", () => {
  const pending = pendingRecords({
    ...numbered("other", 29),
    job: {},
    progress: { after: "job" },
  });
  assert.deepEqual(
    selectRecords(pending, NONE_IN_FLIGHT, 30).slice(29),
    ["job"],
  );
  assert.deepEqual(
    selectRecords(pending, NONE_IN_FLIGHT, 31).slice(29),
    ["job", "progress"],
  );
  pending.delete("job");
  const isInFlight = (key: string) => key === "job";
  assert.equal(
    selectRecords(pending, isInFlight, 31).includes("progress"),
    false,
  );
  pending.set("progress", { urgent: true, after: "job" });
  assert.equal(
    selectRecords(pending, isInFlight, 31).includes("progress"),
    false,
  );
  assert.equal(selectRecords(pending, NONE_IN_FLIGHT, 30)[0], "progress");
});

test.run();
