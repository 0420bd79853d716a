import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseSeed } from "../../testing/random.ts";
import { BLOCK_BYTES, BlockPool } from "./block_pool.ts";
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
      const queue = new ByteQueue(new BlockPool(100_000));
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
  const queue = new ByteQueue(new BlockPool(100_000));
  const read = Buffer.alloc(65_536, "x");
  for (let offset = 0; offset < 60_000; offset++) {
    queue.append(read.subarray(offset, offset + 1));
  }
  assert.ok(queue.capacityBytes < 80_000, `${queue.capacityBytes} bytes`);
});

// Guards against read buffers that stay in use for as long as a part of them is queued.
test("blocks of a cleared or consumed queue are used again, whatever the size of the chunks", () => {
  const pool = new BlockPool(10 * BLOCK_BYTES);
  const queue = new ByteQueue(pool);
  for (const size of [60_000, 5_000, 100_000]) {
    queue.append(Buffer.alloc(size, "x"));
    assert.ok(queue.capacityBytes < 2 * size + BLOCK_BYTES);
    while (queue.length > 0) queue.consume(queue.peek().length);
    assert.is(queue.capacityBytes, 0);
  }
  const keptBytes = pool.freeBytes;
  assert.ok(keptBytes > 90_000, `${keptBytes} bytes`);
  queue.append(Buffer.alloc(90_000, "x"));
  assert.ok(pool.freeBytes < keptBytes - 80_000, `${pool.freeBytes} bytes`);
  queue.clear();
  assert.is(pool.freeBytes, keptBytes);
  queue.append(Buffer.alloc(300_000, "x"));
  queue.clear();
  assert.ok(pool.freeBytes <= 10 * BLOCK_BYTES);
});

test.run();
