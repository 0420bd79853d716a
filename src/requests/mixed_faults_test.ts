import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  call,
  type CallerResponse,
  createEntryDigest,
  type RawRequest,
  rawResponse,
  startRawBackend,
  startTestEntry,
  type TestEntry,
} from "../../testing/request_entry.ts";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { createTestFleet } from "../../testing/request_fleet.ts";
import { createEventLoopLagMeter } from "../../testing/event_loop_lag.ts";

const REQUEST_COUNT = 4_000;
const CALLER_COUNT = 60;
const DEADLINE_MS = 400;
/** Measures stalls of this process, which runs entries, backend servers and callers; a busy machine stalls it for 0.1 to 0.8 s at a time. */
const stalledMs = createEventLoopLagMeter();
const { next: random } = createRandom(chooseSeed());

function respondWithFaults(
  socket: Socket,
  { path, requestId }: RawRequest,
): void {
  const body = `${path}:${"x".repeat(Math.floor(random() * 3_000))}`;
  const complete = rawResponse(
    body,
    `cowslipferry-request-id: ${requestId}\r\n`,
  );
  const fault = random();
  if (fault < 0.02) socket.end(complete.slice(0, -1));
  else if (fault < 0.04) {
    socket.write(complete.slice(0, 60));
    setTimeout(() => socket.resetAndDestroy(), 5);
  } else if (fault < 0.06) socket.write(complete + rawResponse("unsolicited"));
  else if (fault < 0.08) {
    socket.write(complete);
    setTimeout(() => socket.write(rawResponse("unsolicited")), random() * 10);
  } else if (fault < 0.09) socket.destroy();
  else if (fault < 0.1) {
    setTimeout(() => socket.write(complete), DEADLINE_MS + 50);
  } else setTimeout(() => socket.write(complete), random() * 8);
}

interface Attempt {
  readonly path: string;
  readonly response: CallerResponse;
  readonly tookMs: number;
}

async function sendRequests(entries: readonly TestEntry[]): Promise<Attempt[]> {
  const attempts: Attempt[] = [];
  let next = 0;
  const keys = new Map<string, string>();
  async function caller(): Promise<void> {
    while (next < REQUEST_COUNT) {
      const index = next++;
      const keyed = index % 4 === 0;
      const method = index % 2 === 0 ? "POST" : "GET";
      const path = `/quoting/${method}-${index}`;
      const headers: Record<string, string> = {
        "cowslipferry-deadline-ms": String(DEADLINE_MS),
      };
      if (keyed) {
        const issuer = entries[index % entries.length]!;
        const issued = await call(issuer, "/.cowslipferry/keys", {
          method: "POST",
        });
        headers["idempotency-key"] = JSON.parse(issued.text).key;
        keys.set(path, headers["idempotency-key"]!);
      }
      for (let repeat = 0; repeat < (keyed ? 2 : 1); repeat++) {
        const entry = entries[Math.floor(random() * entries.length)]!;
        const startedAtMs = performance.now() - stalledMs();
        const response = await call(entry, path, {
          method,
          headers,
          ...(method === "POST" ? { body: path } : {}),
        });
        const tookMs = performance.now() - stalledMs() - startedAtMs;
        attempts.push({ path, response, tookMs });
      }
    }
  }
  await Promise.all(Array.from({ length: CALLER_COUNT }, caller));
  return attempts;
}

test("under faults, no response is mixed up, truncated or reported with a wrong outcome", async () => {
  const backends = await Promise.all(
    Array.from({ length: 4 }, () => startRawBackend(respondWithFaults)),
  );
  const entries = await Promise.all(
    ["entry-1", "entry-2", "entry-3"].map((id) =>
      startTestEntry({
        id,
        fleet: createTestFleet(backends.map((backend) => backend.address)),
      })
    ),
  );
  const exchangeDigests = () => {
    const digests = entries.map((entry) => createEntryDigest(entry));
    for (const entry of entries) entry.entries.set(digests);
  };
  exchangeDigests();
  const timer = setInterval(exchangeDigests, 100);
  try {
    const attempts = await sendRequests(entries);
    const runs = new Map<string, number>();
    for (const { path } of backends.flatMap((backend) => backend.requests)) {
      runs.set(path, (runs.get(path) ?? 0) + 1);
    }
    const counts: Record<string, number> = {};
    for (const { path, response, tookMs } of attempts) {
      const { outcome, text } = response;
      counts[outcome ?? ""] = (counts[outcome ?? ""] ?? 0) + 1;
      const count = runs.get(path) ?? 0;
      assert.ok(tookMs < DEADLINE_MS + 500, `${path} took ${tookMs} ms`);
      if (outcome === "answer") {
        assert.match(text, new RegExp(`^${path}:x*$`));
        const length = Number(response.headers["content-length"]);
        assert.is(text.length, length);
      } else if (outcome === "not_run") {
        const ranInOtherAttempt = attempts.some((other) =>
          other.path === path && other.response.outcome !== "not_run"
        );
        if (!ranInOtherAttempt) assert.is(count, 0, `${path} ran`);
      }
      if (path.includes("POST")) assert.ok(count <= 1, `${path} ran twice`);
    }
    console.log(JSON.stringify(counts));
    assert.ok((counts.answer ?? 0) > REQUEST_COUNT / 2);
    assert.ok((counts.outcome_unknown ?? 0) > 0);
  } finally {
    clearInterval(timer);
    for (const entry of entries) await entry.close();
    for (const backend of backends) backend.close();
  }
});

test.run();
