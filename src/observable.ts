/** A value that changes over time; readers see the latest one. */
export interface Observable<T> {
  /** The latest value. */
  get(): T;
  /** Calls the listener after each change; returns a function that ends the subscription. */
  subscribe(listener: (value: T) => void): () => void;
}

/** An observable whose owner sets the value. */
export interface MutableObservable<T> extends Observable<T> {
  set(value: T): void;
}

/** Creates an observable with a first value. */
export function createObservable<T>(initial: T): MutableObservable<T> {
  let current = initial;
  const listeners = new Set<(value: T) => void>();
  return {
    get: () => current,
    set(value) {
      current = value;
      for (const listener of [...listeners]) listener(value);
    },
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
