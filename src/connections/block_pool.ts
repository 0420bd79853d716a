/** Size of a block, in bytes. */
export const BLOCK_BYTES = 16_384;

/**
 * Blocks of memory that are used again. V8 collects a buffer that has survived two
 * scavenges only after tens of megabytes of such buffers have accumulated, which is
 * much more than the connections of a small VM may occupy.
 */
export class BlockPool {
  #free: Buffer[] = [];
  #maximumFreeBlocks: number;

  /** Creates a pool that keeps up to `maximumFreeBytes` for the next user. */
  constructor(maximumFreeBytes: number) {
    this.#maximumFreeBlocks = Math.floor(maximumFreeBytes / BLOCK_BYTES);
  }

  /** Number of bytes that are kept for the next user. */
  get freeBytes(): number {
    return this.#free.length * BLOCK_BYTES;
  }

  /** Returns a block of `BLOCK_BYTES` with arbitrary content. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes back a block that nothing refers to any more. */
  release(block: Buffer): void {
    if (this.#free.length < this.#maximumFreeBlocks) this.#free.push(block);
  }
}
