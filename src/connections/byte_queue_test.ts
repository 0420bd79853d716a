import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseSeed } from "../../testing/random.ts";
import { ByteQueue } from "./byte_queue.ts";

test("bytes leave the queue in the order of their arrival", () => {
  const step = fc.oneof(
    fc.uint8Array({ maxLength: 6_000 }).map((bytes) => ({
      kind: "append" as const,
      bytes: Buffer.from(bytes),
    })),
    fc.nat(6_000).map((count) => ({ kind: "consume" as const, count })),
  );
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const queue = new ByteQueue();
      let expected = Buffer.alloc(0);
      for (const next of steps) {
        switch (next.kind) {
          case "append":
            queue.append(next.bytes);
            expected = Buffer.concat([expected, next.bytes]);
            break;
          case "consume": {
            const count = Math.min(next.count, queue.peek().length);
            queue.consume(count);
            expected = expected.subarray(count);
            break;
          }
        }
        assert.is(queue.length, expected.length);
        assert.ok(queue.concat().equals(expected));
        assert.is(queue.peek().length > 0, expected.length > 0);
      }
    }),
    { seed: chooseSeed() },
  );
});

// Guards against small chunks that each keep alive an object and a read buffer.
test("one-byte chunks occupy little more than their bytes", () => {
  const queue = new ByteQueue();
  const read = Buffer.alloc(65_536, "x");
  for (let offset = 0; offset < 60_000; offset++) {
    queue.append(read.subarray(offset, offset + 1));
  }
  assert.ok(queue.capacityBytes < 80_000, `${queue.capacityBytes} bytes`);
});

test.run();
