/** Size of the smallest and the largest block that small chunks are copied into, in bytes. */
const MINIMUM_BLOCK_BYTES = 512;
const MAXIMUM_BLOCK_BYTES = 16_384;
/** Smallest chunk that isn't copied, in bytes. */
const KEPT_CHUNK_BYTES = 4_096;

interface Block {
  readonly storage: Buffer;
  /** Range of the bytes that aren't consumed. */
  startOffset: number;
  endOffset: number;
}

/**
 * Bytes that are appended at the end and consumed from the start. Small chunks
 * are copied into blocks, because each would keep alive an object and the much
 * larger buffer that it is a part of.
 */
export class ByteQueue {
  #blocks: Block[] = [];
  #length = 0;
  #capacityBytes = 0;

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
    if (chunk.length >= KEPT_CHUNK_BYTES) {
      this.#addBlock({
        storage: chunk,
        startOffset: 0,
        endOffset: chunk.length,
      });
      return;
    }
    const last = this.#blocks.at(-1);
    let copiedBytes = 0;
    if (last !== undefined) {
      copiedBytes = chunk.copy(last.storage, last.endOffset);
      last.endOffset += copiedBytes;
    }
    if (copiedBytes === chunk.length) return;
    const storage = Buffer.allocUnsafeSlow(
      Math.max(
        chunk.length,
        MINIMUM_BLOCK_BYTES,
        Math.min(MAXIMUM_BLOCK_BYTES, this.#length),
      ),
    );
    const endOffset = chunk.copy(storage, 0, copiedBytes);
    this.#addBlock({ storage, startOffset: 0, endOffset });
  }

  /** Returns a view of the first block's bytes; empty if the queue is. */
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
    this.#capacityBytes -= first.storage.buffer.byteLength;
  }

  /** Returns all bytes that aren't consumed as one buffer. */
  concat(): Buffer {
    return Buffer.concat(
      this.#blocks.map(({ storage, startOffset, endOffset }) =>
        storage.subarray(startOffset, endOffset)
      ),
      this.#length,
    );
  }

  clear(): void {
    this.#blocks = [];
    this.#length = 0;
    this.#capacityBytes = 0;
  }

  #addBlock(block: Block): void {
    this.#blocks.push(block);
    // A chunk keeps the whole buffer alive that it is a part of.
    this.#capacityBytes += block.storage.buffer.byteLength;
  }
}
