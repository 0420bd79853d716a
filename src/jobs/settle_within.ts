/** Resolves to the work's result; to undefined once the time, in ms, is over. Rejects like the work. */
export async function settleWithin<T>(
  work: Promise<T>,
  limitMs: number,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), limitMs);
  });
  try {
    return await Promise.race([work, limit]);
  } finally {
    clearTimeout(timer);
  }
}
