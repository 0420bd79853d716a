import { NO_ANSWER, sleep, startJsonServer } from "./http.mjs";

/** Usual time of an answer, in ms. */
const ANSWER_MS = 4;
/** Largest number of items on a page. */
const PAGE_ITEMS = 500;

/**
 * Starts a stand-in of the platform's store, as PROTOCOL.md describes it.
 * `faults.onWrite(body)` may return `{ lateMs }`: the write gets no answer and is
 * carried out after that time if its condition holds then.
 */
export async function startStore(host, faults = {}) {
  const items = new Map();
  const leases = new Map();
  const events = [];
  const waiters = new Set();
  let revision = 10;
  let lastLease = 0;

  function wake() {
    for (const waiter of [...waiters]) waiter();
  }

  function put(key, value, lease, at) {
    const created = items.get(key)?.created ?? at;
    const item = { key, value, revision: at, created, lease };
    items.set(key, item);
    events.push(item);
  }

  function remove(key, at) {
    if (items.delete(key)) events.push({ key, revision: at, deleted: true });
  }

  function endLease(id) {
    const lease = leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    leases.delete(id);
    const keys = [...items.values()].filter((item) => item.lease === id);
    if (keys.length > 0) {
      revision++;
      for (const { key } of keys) remove(key, revision);
      wake();
    }
    return true;
  }

  function keepLease(id) {
    const lease = leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => endLease(id), lease.ttlMs);
    return true;
  }

  function change({ precondition = [], puts = [], deletes = [] }) {
    const holds = precondition.every(({ key, revision: expected }) =>
      (items.get(key)?.revision ?? 0) === (expected ?? 0)
    );
    if (!holds) {
      const current = precondition.flatMap(({ key }) => items.get(key) ?? []);
      return { status: 412, body: { items: current } };
    }
    if (puts.some(({ lease }) => lease && !leases.has(lease))) {
      return { status: 404 };
    }
    revision++;
    for (const { key, value, lease } of puts) {
      put(key, value ?? "", lease ?? 0, revision);
    }
    for (const key of deletes) remove(key, revision);
    wake();
    return { status: 200, body: { revision } };
  }

  async function watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after") ?? 0);
    const endMs = performance.now() + Number(query.get("wait-ms") ?? 0);
    for (;;) {
      const found = events.filter((event) =>
        event.revision > after && event.key.startsWith(prefix)
      );
      const leftMs = endMs - performance.now();
      if (found.length > 0 || leftMs <= 0) {
        return { status: 200, body: { events: found, at: revision } };
      }
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, leftMs);
        waiters.add(done);
      });
    }
  }

  function range(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const found = [...items.values()].filter(({ key }) =>
      key.startsWith(prefix) && key > after
    ).sort((a, b) => a.key < b.key ? -1 : 1);
    return {
      status: 200,
      body: {
        items: found.slice(0, PAGE_ITEMS),
        "has-more": found.length > PAGE_ITEMS,
        at: revision,
      },
    };
  }

  const server = await startJsonServer(host, async (call) => {
    await sleep(ANSWER_MS);
    const [name, id] = call.path.slice("/api/".length).split("/");
    switch (name) {
      case "kv-key": {
        const item = items.get(call.query.get("key"));
        return item === undefined
          ? { status: 404 }
          : { status: 200, body: { ...item, at: revision } };
      }
      case "kv-range":
        return range(call.query);
      case "kv-watch":
        return await watch(call.query);
      case "kv-txn": {
        const fault = faults.onWrite?.(call.body);
        if (fault === undefined) return change(call.body);
        setTimeout(() => {
          const { status } = change(call.body);
          faults.onLate?.(call.body, status);
        }, fault.lateMs);
        return NO_ANSWER;
      }
      case "kv-lease": {
        const ttlMs = call.body["ttl-ms"];
        leases.set(++lastLease, { ttlMs, timer: undefined });
        keepLease(lastLease);
        return { status: 200, body: { lease: lastLease, "ttl-ms": ttlMs } };
      }
      case "kv-keep":
        return { status: keepLease(Number(id)) ? 200 : 404 };
      case "kv-lease-end":
        return { status: endLease(Number(id)) ? 200 : 404 };
      default:
        return { status: 400 };
    }
  });

  return {
    address: server.address,
    /** Writes a value as the operator or a minion does. */
    write(key, value) {
      revision++;
      put(
        key,
        Buffer.from(JSON.stringify(value)).toString("base64"),
        0,
        revision,
      );
      wake();
    },
    /** Removes a key, as happens to the entry of a minion that has left. */
    remove(key) {
      revision++;
      remove(key, revision);
      wake();
    },
    close() {
      for (const id of [...leases.keys()]) clearTimeout(leases.get(id).timer);
      server.close();
    },
  };
}
