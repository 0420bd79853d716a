/** Replaces one value at a random place of a JSON document with another one, or removes it. */
export function mutate(
  document: unknown,
  picks: number[],
  value: unknown,
): unknown {
  const [pick = 0, ...rest] = picks;
  if (typeof document !== "object" || document === null) return value;
  const keys = Object.keys(document);
  const key = keys[pick % Math.max(1, keys.length)];
  if (key === undefined) return value;
  const copy: Record<string, unknown> = { ...document };
  if (rest.length === 0 && value === undefined) delete copy[key];
  else if (rest.length === 0) copy[key] = value;
  else copy[key] = mutate(copy[key], rest, value);
  return Array.isArray(document) ? Object.values(copy) : copy;
}
