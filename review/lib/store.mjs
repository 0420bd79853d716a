// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store"). It loses nothing that it has acknowledged.
import { createServer } from "node:http";

const PAGE_ITEMS = 500;

export class Store {
  items = new Map();
  revision = 100;
  history = [];
  compactedUpTo = 100;
  leases = new Map();
  nextLease = 1;
  waiters = new Set();
  servers = [];
  /** Delay of each answer, in ms. */
  answerMs = 4;
  /** Called before a call is handled; may return a promise. Returning "drop" leaves the call without an answer. */
  before = undefined;
  /** Called after each executed change, with the names of its keys. */
  onChange = undefined;

  /** Writes as the operator or a minion does, without a condition. */
  write(key, object) {
    this.apply([{ key, value: encode(JSON.stringify(object)) }], []);
  }

  remove(key) {
    if (this.items.has(key)) this.apply([], [key]);
  }

  read(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  /** Discards the history, as the page allows at any time. */
  compact() {
    this.history = [];
    this.compactedUpTo = this.revision;
    this.wake();
  }

  wake() {
    for (const waiter of [...this.waiters]) waiter();
  }

  apply(puts, deletes) {
    this.revision++;
    for (const { key, value, lease = 0 } of puts) {
      const before = this.items.get(key);
      const item = {
        key,
        value,
        revision: this.revision,
        created: before?.created ?? this.revision,
        lease,
      };
      this.items.set(key, item);
      this.history.push(item);
    }
    for (const key of deletes) {
      if (!this.items.delete(key)) continue;
      this.history.push({ key, revision: this.revision, deleted: true });
    }
    this.wake();
    return this.revision;
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    const keys = [...this.items.values()].filter((item) => item.lease === id)
      .map(({ key }) => key);
    if (keys.length > 0) this.apply([], keys);
    return true;
  }

  keepLease(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    return true;
  }

  change({ precondition = [], puts = [], deletes = [] }) {
    if (precondition.length + puts.length + deletes.length > 32) return [400];
    for (const { key } of [...puts, ...deletes.map((key) => ({ key }))]) {
      if (/^(op|servers)\//.test(key)) return [403];
      if (Buffer.byteLength(key) > 200) return [400];
    }
    for (const { value } of puts) {
      if (Buffer.from(value, "base64").length > 1_048_576) return [400];
    }
    const holds = precondition.every(({ key, revision }) =>
      (this.items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      const items = precondition.flatMap(({ key }) =>
        this.items.get(key) ?? []
      );
      return [412, { items }];
    }
    for (const { lease = 0 } of puts) {
      if (lease !== 0 && !this.leases.has(lease)) return [404];
    }
    const revision = this.apply(puts, deletes);
    this.onChange?.(puts, deletes);
    return [200, { revision }];
  }

  async watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const endMs = Date.now() + Number(query.get("wait-ms"));
    for (;;) {
      if (after < this.compactedUpTo) return [410];
      const events = this.history.filter((event) =>
        event.revision > after && event.key.startsWith(prefix)
      );
      const leftMs = endMs - Date.now();
      if (events.length > 0 || leftMs <= 0) {
        return [200, { events, at: this.revision }];
      }
      await new Promise((resolve) => {
        const timer = setTimeout(done, leftMs);
        const waiters = this.waiters;
        function done() {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        }
        waiters.add(done);
      });
    }
  }

  async handle(method, url, body) {
    const query = url.searchParams;
    const [, , name, id] = url.pathname.split("/");
    switch (`${method} ${name}`) {
      case "GET kv-key": {
        const item = this.items.get(query.get("key"));
        return item === undefined ? [404] : [200, item];
      }
      case "GET kv-range": {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const all = [...this.items.values()].filter(({ key }) =>
          key.startsWith(prefix) && key > after
        ).sort((a, b) => a.key < b.key ? -1 : 1);
        return [200, {
          items: all.slice(0, PAGE_ITEMS),
          "has-more": all.length > PAGE_ITEMS,
          at: this.revision,
        }];
      }
      case "GET kv-watch":
        return await this.watch(query);
      case "POST kv-txn":
        return this.change(body);
      case "POST kv-lease": {
        const lease = this.nextLease++;
        const ttlMs = Math.max(1_000, body["ttl-ms"]);
        this.leases.set(lease, { ttlMs, timer: undefined });
        this.keepLease(lease);
        return [200, { lease, "ttl-ms": ttlMs }];
      }
      case "POST kv-keep":
        return [this.keepLease(Number(id)) ? 200 : 404, {}];
      case "DELETE kv-lease-end":
        return [this.endLease(Number(id)) ? 200 : 404, {}];
    }
    return [404];
  }

  /** Starts a listener for one node, so that a case can tell the nodes apart. */
  async listen(node) {
    const server = createServer(async (request, response) => {
      const text = await readAll(request);
      const url = new URL(request.url, "http://store");
      const call = {
        node,
        method: request.method,
        url,
        body: text === "" ? {} : JSON.parse(text),
      };
      const verdict = await this.before?.(call);
      if (verdict === "drop") return;
      if (verdict === "busy") return send(response, 503);
      const [status, answer] = await this.handle(call.method, url, call.body);
      call.status = status;
      if (await this.after?.(call) === "drop") return;
      const waitMs = this.answerMs;
      setTimeout(() => send(response, status, answer), waitMs);
    });
    this.servers.push(server);
    return await listenOn(server);
  }

  close() {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}

function encode(text) {
  return Buffer.from(text).toString("base64");
}

/** Reads a request's body; an aborted request counts as empty. */
export async function readAll(stream) {
  const chunks = [];
  try {
    for await (const chunk of stream) chunks.push(chunk);
  } catch {
    return "";
  }
  return Buffer.concat(chunks).toString();
}

export function send(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(body === undefined ? "" : JSON.stringify(body));
}

/** Listens on a free loopback port; returns `host:port`. */
export async function listenOn(server, host = "127.0.0.1", port = 0) {
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const { address, port: chosen } = server.address();
  return `${address}:${chosen}`;
}
