/** Returns a 32-bit hash of two names that every entry computes alike. */
export function rendezvousHash(a: string, b: string): number {
  let hash = 0x811c9dc5;
  const text = `${a}\n${b}`;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  // FNV-1a alone leaves names that differ in the last character close together.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
