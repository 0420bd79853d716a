import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeConnectionLimit, computeSlotShares } from "./slot_shares.ts";

const demands = fc.uniqueArray(
  fc.record({
    entryId: fc.string({ minLength: 1, maxLength: 8 }),
    ownSlots: fc.float({ min: 0, max: 500, noNaN: true }),
    ownActive: fc.boolean(),
    overflowSlots: fc.float({ min: 0, max: 500, noNaN: true }),
  }),
  { minLength: 1, maxLength: 12, selector: (demand) => demand.entryId },
);

const pools = fc.record({
  pool: fc.constant("pool"),
  instances: fc.nat({ max: 12 }).map((count) =>
    Array.from({ length: count }, (_, index) => ({
      vmId: `vm-${index}`,
      slots: 8,
    }))
  ),
  lends: fc.boolean(),
  minimumServingSlots: fc.nat({ max: 64 }),
  entries: demands,
});

test("every slot of an instance is assigned to one entry, independently of the order of entries", () => {
  fc.assert(fc.property(pools, (input) => {
    const shares = computeSlotShares(input);
    for (const { vmId, slots } of input.instances) {
      const granted = [...shares.instances.get(vmId)!.values()];
      assert.is(granted.reduce((sum, count) => sum + count, 0), slots);
      assert.ok(granted.every((count) => count >= 0));
    }
    const reversed = computeSlotShares({
      ...input,
      entries: input.entries.toReversed(),
    });
    assert.equal(reversed, shares);
  }));
});

test("an entry with requests gets at least one slot", () => {
  fc.assert(fc.property(pools, (input) => {
    const { entries, lendable } = computeSlotShares(input);
    const ownSlots = input.instances.length * 8 - lendable.slots;
    const active = input.entries.filter((entry) => entry.ownActive);
    if (ownSlots < active.length) return;
    for (const { entryId } of active) {
      assert.ok(entries.get(entryId)!.slots >= 1);
    }
  }));
});

test("overflow never uses the slots of the lender's minimum of serving VMs", () => {
  fc.assert(fc.property(pools, (input) => {
    const { entries } = computeSlotShares(input);
    const overflowSlotCount = [...entries.values()]
      .reduce((sum, entry) => sum + entry.overflowLimit, 0);
    const lendableSlots = input.instances.length * 8 -
      input.minimumServingSlots;
    assert.ok(
      overflowSlotCount <= (input.lends ? Math.max(0, lendableSlots) : 0),
    );
  }));
});

test("slots are shared in proportion to demand", () => {
  const { entries } = computeSlotShares({
    pool: "pool",
    instances: Array.from({ length: 6 }, (_, index) => ({
      vmId: `vm-${index}`,
      slots: 8,
    })),
    lends: false,
    minimumServingSlots: 0,
    entries: [
      { entryId: "a", ownSlots: 30, ownActive: true, overflowSlots: 0 },
      { entryId: "b", ownSlots: 10, ownActive: true, overflowSlots: 0 },
    ],
  });
  assert.is(entries.get("a")!.slots, 36);
  assert.is(entries.get("b")!.slots, 12);
});

test("the connection limit is divided among the entries", () => {
  assert.is(computeConnectionLimit(64, 9), 7);
  assert.is(computeConnectionLimit(64, 100), 1);
});

test.run();
