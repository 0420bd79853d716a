// Stand-in of the platform's metadata store: one revision counter, conditional
// transactions, leases, long polls. It keeps the limits that PROTOCOL.md and the
// settings file give: 200 bytes a key, `value-bytes` a value, 32 entries a call.
const MAXIMUM_KEY_BYTES = 200;
const MAXIMUM_VALUE_BYTES = 1_048_576;
const MAXIMUM_ENTRIES = 32;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const MINIMUM_TTL_MS = 1_000;
const RESPONSE_MS = 4;

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Store {
  items = new Map();
  history = [];
  revision = 1;
  leases = new Map();
  waiters = new Set();
  lastLease = 0;
  /** Numbers of transactions, by response status. */
  txnStatuses = {};
  /** Called with each rejected transaction: (status, reason). */
  onRejected = () => {};
  /** Called with the key and text of each stored value. */
  onPut = () => {};

  #wake() {
    for (const wake of [...this.waiters]) wake();
  }
  #set(key, bytes, lease, revision) {
    const created = this.items.get(key)?.created ?? revision;
    const item = {
      key,
      value: bytes.toString("base64"),
      revision,
      created,
      lease,
    };
    this.items.set(key, item);
    this.history.push(item);
    this.onPut(key, bytes.toString("utf8"));
  }
  #remove(key, revision) {
    if (!this.items.delete(key)) return;
    this.history.push({ key, revision, deleted: true });
  }
  /** Writes or deletes a key as the operator or a minion does. */
  write(key, value) {
    const revision = ++this.revision;
    if (value === undefined) this.#remove(key, revision);
    else this.#set(key, Buffer.from(JSON.stringify(value)), 0, revision);
    this.#wake();
  }
  read(key) {
    const item = this.items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
  }

  #endLease(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    const keys = [...this.items.values()].filter((item) => item.lease === id);
    if (keys.length > 0) {
      const revision = ++this.revision;
      for (const { key } of keys) this.#remove(key, revision);
      this.#wake();
    }
    return true;
  }
  #renew(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#endLease(id), lease.ttlMs);
    return true;
  }

  #transact(body) {
    const { precondition = [], puts = [], deletes = [] } = body;
    const reject = (reason) => {
      this.onRejected(400, reason);
      return { status: 400, body: { reason } };
    };
    if (precondition.length + puts.length + deletes.length > MAXIMUM_ENTRIES) {
      return reject("too many entries");
    }
    const decoded = puts.map(({ key, value, lease = 0 }) => ({
      key,
      bytes: Buffer.from(value, "base64"),
      lease,
    }));
    for (const { key, bytes } of decoded) {
      if (Buffer.byteLength(key) > MAXIMUM_KEY_BYTES) {
        return reject(`key ${key} is too long`);
      }
      if (bytes.length > MAXIMUM_VALUE_BYTES) {
        return reject(`value of ${key} has ${bytes.length} bytes`);
      }
      if (/^(op|servers)\//.test(key)) return { status: 403 };
    }
    const unmet = precondition.some(({ key, revision }) =>
      (this.items.get(key)?.revision ?? 0) !== revision
    );
    if (unmet) {
      const items = precondition.flatMap(({ key }) =>
        this.items.get(key) ?? []
      );
      return { status: 412, body: { items } };
    }
    if (decoded.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) {
      return { status: 404 };
    }
    const revision = ++this.revision;
    for (const { key, bytes, lease } of decoded) {
      this.#set(key, bytes, lease, revision);
    }
    for (const key of deletes) this.#remove(key, revision);
    this.#wake();
    return { status: 200, body: { revision } };
  }

  #range(prefix, after) {
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      if (items.length >= PAGE_ITEMS || (bytes > 0 && bytes > PAGE_BYTES)) {
        break;
      }
      items.push(item);
      bytes += item.value.length;
    }
    return {
      status: 200,
      body: {
        items,
        "has-more": items.length < keys.length,
        at: this.revision,
      },
    };
  }

  async #watch(prefix, after, waitMs, signal) {
    const endMs = performance.now() + Math.min(waitMs, 30_000);
    for (;;) {
      const events = this.history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0 || signal.aborted) {
        return { status: 200, body: { events, at: this.revision } };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          signal.removeEventListener("abort", wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiters.add(wake);
        signal.addEventListener("abort", wake, { once: true });
      });
    }
  }

  async answer({ method, url, body, signal }) {
    const [, , name, id] = url.pathname.split("/");
    const query = url.searchParams;
    await pause(RESPONSE_MS);
    switch (`${method} ${name}`) {
      case "GET kv-key": {
        const item = this.items.get(query.get("key"));
        return item === undefined
          ? { status: 404, body: { at: this.revision } }
          : { status: 200, body: { ...item, at: this.revision } };
      }
      case "GET kv-range":
        return this.#range(query.get("prefix") ?? "", query.get("after") ?? "");
      case "GET kv-watch":
        return await this.#watch(
          query.get("prefix") ?? "",
          Number(query.get("after")),
          Number(query.get("wait-ms")),
          signal,
        );
      case "POST kv-txn": {
        const reply = this.#transact(body);
        this.txnStatuses[reply.status] = (this.txnStatuses[reply.status] ?? 0) +
          1;
        return reply;
      }
      case "POST kv-lease": {
        const ttlMs = Math.max(MINIMUM_TTL_MS, body["ttl-ms"]);
        const lease = ++this.lastLease;
        this.leases.set(lease, { ttlMs, timer: undefined });
        this.#renew(lease);
        return { status: 200, body: { lease, "ttl-ms": ttlMs } };
      }
      case "POST kv-keep":
        return { status: this.#renew(Number(id)) ? 200 : 404, body: {} };
      case "DELETE kv-lease-end":
        return { status: this.#endLease(Number(id)) ? 200 : 404, body: {} };
      default:
        return { status: 400 };
    }
  }

  close() {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.#wake();
  }
}
