import { setTimeout as delay } from "node:timers/promises";
import type { VersionedValue } from "../src/ports/store.ts";
import {
  createJsonServer,
  type JsonCall,
  type JsonReply,
  listenOnLoopback,
  type RunningServer,
} from "./http_json_server.ts";

/** Faults of the store; tests may change them at any time. */
export interface StoreFaults {
  /** Closes the connection of every call without a response. */
  down: boolean;
  /** Delays every call, in ms. */
  delayMs: number;
  /** Number of upcoming writes that take effect but get no response. */
  loseAnswers: number;
  /** Number of upcoming writes that have no effect and get no response. */
  dropWrites: number;
  /** Number of upcoming reads that return the value before the latest write. */
  staleReads: number;
}

/** Numbers of calls since the start. */
export interface StoreCounts {
  reads: number;
  writes: number;
  watches: number;
}

/** A fake store server. */
export interface StoreServer extends RunningServer {
  readonly faults: StoreFaults;
  readonly counts: StoreCounts;
  /** Stored values by key. */
  readonly values: Map<string, VersionedValue>;
  /** Expires a lease immediately without notifying its holder. */
  expireLease(name: string): void;
  /** Returns the last holder of a lease, even if it has expired. */
  leaseHolder(name: string): string | undefined;
}

interface LeaseState {
  holder: string;
  expiresAtMs: number;
  fencingToken: number;
}

const MAXIMUM_VALUE_BYTES = 1_000_000;

const BAD_REQUEST: JsonReply = { status: 400, body: {} };

function isSwapBody(
  body: unknown,
): body is { expectedVersion: number; value: string } {
  const { expectedVersion, value } = (body ?? {}) as Record<string, unknown>;
  return Number.isInteger(expectedVersion) && typeof value === "string";
}

function isLeaseBody(
  body: unknown,
): body is { holder: string; ttlMs: number } {
  const { holder, ttlMs } = (body ?? {}) as Record<string, unknown>;
  return typeof holder === "string" && typeof ttlMs === "number" && ttlMs > 0;
}

/** Starts a fake store server with compare-and-swap, leases and watches over HTTP. */
export async function startStoreServer(port = 0): Promise<StoreServer> {
  const faults: StoreFaults = {
    down: false,
    delayMs: 0,
    loseAnswers: 0,
    dropWrites: 0,
    staleReads: 0,
  };
  const counts: StoreCounts = { reads: 0, writes: 0, watches: 0 };
  const values = new Map<string, VersionedValue>();
  const previousValues = new Map<string, VersionedValue>();
  const leases = new Map<string, LeaseState>();
  const watchers = new Set<() => void>();

  function readVisible(key: string): VersionedValue | undefined {
    const older = previousValues.get(key);
    if (faults.staleReads <= 0 || older === undefined) return values.get(key);
    faults.staleReads--;
    return older;
  }

  function read(key: string): JsonReply {
    const current = readVisible(key);
    return current === undefined
      ? { status: 404, body: {} }
      : { status: 200, body: current };
  }

  async function watch(
    call: JsonCall,
    key: string,
    afterVersion: number,
  ): Promise<JsonReply> {
    counts.watches++;
    const endMs = Date.now() + Number(call.url.searchParams.get("waitMs") ?? 0);
    while (!call.signal.aborted && Date.now() < endMs) {
      const current = readVisible(key) ?? { value: "", version: 0 };
      if (current.version !== afterVersion) {
        return { status: 200, body: current };
      }
      await new Promise<void>((resolve) => {
        const timer = setTimeout(wake, endMs - Date.now());
        function wake() {
          clearTimeout(timer);
          watchers.delete(wake);
          call.signal.removeEventListener("abort", wake);
          resolve();
        }
        watchers.add(wake);
        call.signal.addEventListener("abort", wake, { once: true });
      });
    }
    return { status: 204 };
  }

  function swap(
    key: string,
    body: { expectedVersion: number; value: string },
  ): JsonReply {
    counts.writes++;
    if (Buffer.byteLength(body.value) > MAXIMUM_VALUE_BYTES) {
      return { status: 413, body: {} };
    }
    const latest = values.get(key);
    const version = latest?.version ?? 0;
    if (version !== body.expectedVersion) {
      return { status: 409, body: { version } };
    }
    if (latest !== undefined) previousValues.set(key, latest);
    values.set(key, { value: body.value, version: version + 1 });
    for (const wake of [...watchers]) wake();
    return { status: 200, body: { version: version + 1 } };
  }

  function acquireLease(
    name: string,
    body: { holder: string; ttlMs: number },
  ): JsonReply {
    counts.writes++;
    const lease = leases.get(name);
    const nowMs = Date.now();
    const free = lease === undefined || lease.expiresAtMs <= nowMs;
    if (!free && lease.holder !== body.holder) {
      return { status: 200, body: { kind: "held", holder: lease.holder } };
    }
    const previousToken = lease?.fencingToken ?? 0;
    const fencingToken = free ? previousToken + 1 : previousToken;
    leases.set(name, {
      holder: body.holder,
      expiresAtMs: nowMs + body.ttlMs,
      fencingToken,
    });
    return { status: 200, body: { kind: "granted", fencingToken } };
  }

  function expireLease(name: string): void {
    const lease = leases.get(name);
    if (lease !== undefined) lease.expiresAtMs = 0;
  }

  function releaseLease(name: string, holder: string | null): JsonReply {
    counts.writes++;
    if (leases.get(name)?.holder === holder) expireLease(name);
    return { status: 200, body: {} };
  }

  function routeCall(call: JsonCall): Promise<JsonReply> | JsonReply {
    if (call.method === "PUT" && !isSwapBody(call.body)) return BAD_REQUEST;
    if (call.method === "POST" && !isLeaseBody(call.body)) return BAD_REQUEST;
    const [, , resource, encodedKey] = call.url.pathname.split("/");
    const key = decodeURIComponent(encodedKey ?? "");
    if (resource === "leases") {
      return call.method === "DELETE"
        ? releaseLease(key, call.url.searchParams.get("holder"))
        : acquireLease(key, call.body as { holder: string; ttlMs: number });
    }
    if (call.method === "PUT") {
      return swap(key, call.body as { expectedVersion: number; value: string });
    }
    const afterVersion = call.url.searchParams.get("afterVersion");
    if (afterVersion !== null) return watch(call, key, Number(afterVersion));
    counts.reads++;
    return read(key);
  }

  const server = createJsonServer(async (call) => {
    if (call.url.pathname === "/faults") {
      Object.assign(faults, call.body);
      if (faults.down) running.server.closeIdleConnections();
      return { status: 200, body: { faults, counts } };
    }
    if (faults.down) return undefined;
    if (faults.delayMs > 0) await delay(faults.delayMs);
    if (call.method !== "GET" && faults.dropWrites > 0) {
      faults.dropWrites--;
      return undefined;
    }
    const reply = await routeCall(call);
    if (faults.down) return undefined;
    if (call.method !== "GET" && faults.loseAnswers > 0) {
      faults.loseAnswers--;
      return undefined;
    }
    return reply;
  });
  const running = await listenOnLoopback(server, port);
  return {
    ...running,
    faults,
    counts,
    values,
    expireLease,
    leaseHolder: (name) => leases.get(name)?.holder,
  };
}
