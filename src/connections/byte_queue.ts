import { BLOCK_BYTES, type BlockPool } from "./block_pool.ts";

/** Size of the smallest block, in bytes. */
const MINIMUM_BLOCK_BYTES = 512;

interface Block {
  readonly storage: Buffer;
  /** Range of the bytes that aren't consumed. */
  startOffset: number;
  endOffset: number;
}

/**
 * Bytes that are appended at the end and consumed from the start. Chunks are
 * copied into blocks, because each would keep alive an object and the often much
 * larger buffer that it is a part of.
 */
export class ByteQueue {
  #blocks: Block[] = [];
  #pool: BlockPool;
  #length = 0;
  #capacityBytes = 0;

  constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  /** Number of bytes that aren't consumed. */
  get length(): number {
    return this.#length;
  }

  /** Memory that the blocks occupy, in bytes. */
  get capacityBytes(): number {
    return this.#capacityBytes;
  }

  append(chunk: Buffer): void {
    this.#length += chunk.length;
    for (let offset = 0; offset < chunk.length;) {
      const last = this.#blocks.at(-1);
      const copiedBytes = last === undefined
        ? 0
        : chunk.copy(last.storage, last.endOffset, offset);
      if (last !== undefined) last.endOffset += copiedBytes;
      offset += copiedBytes;
      if (offset < chunk.length) this.#addBlock();
    }
  }

  /** Returns a view of the first block's bytes, empty if the queue is; it is valid until they are consumed or cleared. */
  peek(): Buffer {
    const [first] = this.#blocks;
    return first === undefined
      ? Buffer.alloc(0)
      : first.storage.subarray(first.startOffset, first.endOffset);
  }

  /** Consumes bytes of the first block. */
  consume(bytes: number): void {
    const [first] = this.#blocks;
    if (first === undefined) return;
    first.startOffset += bytes;
    this.#length -= bytes;
    if (first.startOffset < first.endOffset) return;
    this.#blocks.shift();
    this.#release(first);
  }

  /** Returns a copy of all bytes that aren't consumed as one buffer. */
  concat(): Buffer {
    return Buffer.concat(
      this.#blocks.map(({ storage, startOffset, endOffset }) =>
        storage.subarray(startOffset, endOffset)
      ),
      this.#length,
    );
  }

  clear(): void {
    for (const block of this.#blocks) this.#release(block);
    this.#blocks = [];
    this.#length = 0;
  }

  /** Adds a block that is as large as what the queue contains. */
  #addBlock(): void {
    const storage = this.#length < BLOCK_BYTES
      ? Buffer.allocUnsafeSlow(Math.max(MINIMUM_BLOCK_BYTES, this.#length))
      : this.#pool.take();
    this.#blocks.push({ storage, startOffset: 0, endOffset: 0 });
    this.#capacityBytes += storage.length;
  }

  #release({ storage }: Block): void {
    this.#capacityBytes -= storage.length;
    if (storage.length === BLOCK_BYTES) this.#pool.release(storage);
  }
}
