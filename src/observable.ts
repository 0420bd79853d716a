/** A value that changes over time and can be observed. */
export interface Observable<T> {
  /** Returns the current value. */
  get(): T;
  /** Calls the listener after each change; returns a function that unsubscribes it. */
  subscribe(listener: (value: T) => void): () => void;
}

/** An observable whose value can be set. */
export interface MutableObservable<T> extends Observable<T> {
  set(value: T): void;
}

/** Creates an observable with an initial value. */
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
