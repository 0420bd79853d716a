/** Returns a 32-bit hash of a pair of names, the same on every entry. */
export function rendezvousHash(a: string, b: string): number {
  let hash = 0x811c9dc5;
  const text = `${a}\n${b}`;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  // FNV-1a alone gives similar hashes to names that differ only in the last character, so a finalizer mixes the bits.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
