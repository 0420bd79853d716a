import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DeadlineQueue } from "./deadline_queue.ts";

// Guards against a heap that loses items or returns them in another order.
test("items are returned by deadline, and by insertion for equal deadlines", () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: 20 })), (deadlines) => {
      const queue = new DeadlineQueue<number>();
      deadlines.forEach((deadlineMs, index) => queue.add(index, deadlineMs));
      const expected = deadlines.map((_, index) => index)
        .sort((a, b) => deadlines[a]! - deadlines[b]! || a - b);
      assert.equal(expected.map(() => queue.take()), expected);
      assert.is(queue.take(), undefined);
      assert.is(queue.size, 0);
    }),
  );
});

test.run();
