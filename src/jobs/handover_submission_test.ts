import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore } from "../../testing/fake_store.ts";
import { createDigest, REGION } from "../../testing/fleet_simulation.ts";
import {
  createJobSpec,
  issueKeyForShard,
  runSteps,
  storedJobs,
} from "../../testing/job_helpers.ts";
import { JobSimulation } from "../../testing/job_simulation.ts";
import {
  call,
  type CallerResponse,
  startTestEntry,
} from "../../testing/request_entry.ts";
import { createTestFleet } from "../../testing/request_fleet.ts";
import { waitFor } from "../../testing/wait.ts";
import type { Clock } from "../clock.ts";
import { DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER } from "../constants.ts";
import { createFleetRecord } from "../fleet/record.ts";
import { createObservable } from "../observable.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { JOBS_PATH } from "./job_reply.ts";
import { SHARD_COUNT } from "./job_key.ts";
import { ownerOf } from "./ownership.ts";
import { JobRoutes } from "./routes.ts";

/** Entries in the order in which they own the shard; the first one is stopping. */
const IDS = ["first", "second", "third"] as const;
type EntryId = typeof IDS[number];

function digestOf(
  id: EntryId,
  changes: { stopping?: boolean; callerAddress?: string } = {},
) {
  const record = createFleetRecord(REGION);
  return { ...createDigest(id, record, new Map(), new Map()), ...changes };
}

function findShard(): number {
  const owner = (shard: number, ids: readonly EntryId[]) =>
    ownerOf(
      shard,
      { entryId: "third", region: REGION },
      ids.map((id) => digestOf(id)),
    ).entryId;
  const shards = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);
  return shards.find((shard) =>
    owner(shard, IDS) === "first" && owner(shard, IDS.slice(1)) === "second"
  )!;
}

const SHARD = findShard();

/** Starts an entry that serves job routes and counts its requests. */
async function startJobEntry(
  clock: Clock,
  id: EntryId,
  routes: () => JobRoutes,
) {
  const requests = { count: 0 };
  const entry = await startTestEntry({
    id,
    clock,
    fleet: createTestFleet([]),
    systemApi: {
      pathPrefix: JOBS_PATH,
      async handle(request) {
        const handled = routes().handle(request);
        requests.count++;
        const { outcome, ...response } = await handled;
        return { kind: "forwarded", outcome, response };
      },
    },
  });
  return { address: entry.address, requests, close: entry.close };
}

/** Creates three entries; the first one owns the shard, the second one is next. */
async function createEntries() {
  const store = createFakeStore();
  const jobs = new JobSimulation({ store, workerCount: 2 });
  const first = jobs.createEntryDispatchers("first", [SHARD])[0]!;
  const second = jobs.createEntryDispatchers("second", [SHARD])[0]!;
  await first.step();
  await second.step();
  const running = new Map<EntryId, Dispatcher>([
    ["first", first],
    ["second", second],
  ]);
  const routes = new Map<EntryId, JobRoutes>();
  const servers = await Promise.all(
    IDS.map((id) => startJobEntry(jobs.clock, id, () => routes.get(id)!)),
  );
  const view = (isStopping: boolean) =>
    IDS.map((id, index) =>
      digestOf(id, {
        stopping: isStopping && id === "first",
        callerAddress: servers[index]!.address,
      })
    );
  const views = {
    first: createObservable(view(true)),
    second: createObservable(view(true)),
    third: createObservable(view(true)),
  };
  for (const id of IDS) {
    const entry = new JobRoutes({
      entryId: id,
      region: REGION,
      entries: views[id],
      config: jobs.config,
      dispatcherOf: () => running.get(id),
      clock: jobs.clock,
    });
    routes.set(id, entry);
  }
  let writing: NodeJS.Timeout | undefined;
  const sent: Promise<CallerResponse>[] = [];
  return {
    store,
    jobs,
    first,
    second,
    running,
    views,
    view,
    /** Number of requests that the second entry got from callers and entries. */
    requestsToSecond: () => servers[1]!.requests.count,
    /** Lets the second entry take the shard over, and keeps writing its changes. */
    async handOver() {
      await first.release();
      await second.step();
      writing = setInterval(() => second.writer.flush(), 20);
    },
    send(
      id: EntryId,
      method: "POST" | "GET" | "DELETE",
      key: string,
      deadlineMs?: number,
    ): Promise<CallerResponse> {
      const isSubmission = method === "POST";
      const path = isSubmission ? JOBS_PATH : `${JOBS_PATH}/${key}`;
      const reply = call(servers[IDS.indexOf(id)]!, path, {
        method,
        ...(isSubmission ? { body: JSON.stringify(createJobSpec()) } : {}),
        headers: {
          ...(isSubmission ? { [IDEMPOTENCY_KEY_HEADER]: key } : {}),
          ...(deadlineMs === undefined
            ? {}
            : { [DEADLINE_HEADER]: String(deadlineMs) }),
        },
      });
      sent.push(reply);
      return reply;
    },
    issueKey: () => issueKeyForShard(SHARD, jobs.nowMs).key,
    async close() {
      clearInterval(writing);
      // Ends the requests that still wait after a failed assertion.
      jobs.tick(10_000);
      await Promise.allSettled(sent);
      await Promise.all(servers.map((server) => server.close()));
    },
  };
}

async function withEntries(
  body: (entries: Awaited<ReturnType<typeof createEntries>>) => Promise<void>,
): Promise<void> {
  const entries = await createEntries();
  try {
    await body(entries);
  } finally {
    await entries.close();
  }
}

async function readRefusal(reply: Promise<CallerResponse>) {
  const { status, headers, error } = await reply;
  return { status, retryAfter: headers["retry-after"], kind: error };
}

// Guards against callers that are refused with `not_owner` although the next owner takes the shard over moments later.
test("requests sent during a planned handover are answered by the next dispatcher", () =>
  withEntries(async (entries) => {
    const { jobs, second, store } = entries;
    const keys = [entries.issueKey(), entries.issueKey()];
    const submissions = [
      entries.send("second", "POST", keys[0]!),
      entries.send("third", "POST", keys[1]!),
      entries.send("first", "POST", keys[1]!),
    ];
    const cancelled = entries.send("third", "DELETE", entries.issueKey());
    const read = entries.send("second", "GET", entries.issueKey());
    await delay(100);
    await entries.handOver();
    const replies = await Promise.all(submissions);
    // Both submissions with the second key find the same job.
    const expected = [keys[0], keys[1], keys[1]];
    assert.equal(replies.map(({ text }) => JSON.parse(text).id), expected);
    for (const { status } of replies) {
      assert.ok(status === 201 || status === 200);
    }
    assert.is(replies[0]!.status, 201);
    assert.is((await cancelled).error, "unknown_job");
    assert.is((await read).error, "unknown_job");
    assert.is((await entries.send("first", "POST", keys[0]!)).status, 200);
    assert.equal([...storedJobs(store, SHARD).keys()].sort(), keys.sort());
    await runSteps(jobs, second, 6);
    for (const key of keys) assert.is(jobs.statistics.starts.get(key), 1);
  }));

// Guards against a refusal because the asked entry or the next owner learns of the handover later than the other one.
test("a submission reaches the next dispatcher although an entry's view lags behind", async () => {
  for (const late of ["second", "third"] as const) {
    await withEntries(async (entries) => {
      const { running, second, views } = entries;
      views[late].set(entries.view(false));
      // An entry starts a dispatcher once it knows that it owns the shard.
      if (late === "second") running.delete("second");
      const reply = entries.send("third", "POST", entries.issueKey());
      await delay(100);
      views[late].set(entries.view(true));
      running.set("second", second);
      await entries.handOver();
      assert.is((await reply).status, 201, late);
    });
  }
});

// Guards against a submission that is lost or stored twice when its dispatcher gives the shard up before the write.
test("a submission that the previous dispatcher hasn't written is passed on once", () =>
  withEntries(async (entries) => {
    const { first, jobs, second, store, views } = entries;
    views.first.set(entries.view(false));
    const written = entries.issueKey();
    const stored = entries.send("first", "POST", written);
    await waitFor("the change is queued", () => first.writer.needsFlush);
    await first.writer.flush();
    assert.is((await stored).status, 201);
    const unwritten = entries.issueKey();
    const reply = entries.send("first", "POST", unwritten);
    await waitFor("the change is queued", () => first.writer.needsFlush);
    views.first.set(entries.view(true));
    const repeated = entries.send("third", "POST", written);
    await entries.handOver();
    assert.is((await reply).status, 201);
    assert.is((await repeated).status, 200);
    const keys = [written, unwritten].sort();
    assert.equal([...storedJobs(store, SHARD).keys()].sort(), keys);
    await runSteps(jobs, second, 6);
    for (const key of keys) assert.is(jobs.statistics.starts.get(key), 1);
  }));

// Guards against requests that wait longer than the bound or their caller's deadline allows.
test("a shard without a next dispatcher is refused with Retry-After in time", () =>
  withEntries(async ({ jobs, issueKey, send, requestsToSecond }) => {
    const refusal = { status: 503, retryAfter: "1", kind: "not_owner" };
    // The clock stands still, so that only an answer without a wait arrives.
    assert.equal(
      await readRefusal(send("second", "POST", issueKey(), 400)),
      refusal,
    );
    const invalid = await send("second", "POST", issueKey(), 0);
    assert.is(invalid.error, "invalid_deadline");
    for (const [waitMs, deadlineMs] of [[500, 1_000], [1_500, undefined]]) {
      const before = requestsToSecond();
      const replies = (["second", "third"] as const).map((id) =>
        readRefusal(send(id, "POST", issueKey(), deadlineMs))
      );
      await waitFor("both wait", () => requestsToSecond() === before + 2);
      const isAnswered = Promise.race(replies).then(() => true);
      jobs.tick(waitMs! - 1);
      assert.is(await Promise.race([isAnswered, delay(400, false)]), false);
      jobs.tick(1);
      assert.equal(await Promise.all(replies), [refusal, refusal]);
    }
  }));

// Guards against requests that wait although the store can't be reached, so that nobody can take the shard over.
test("a shard that can't be loaded is refused at once", () =>
  withEntries(async ({ store, second, issueKey, send }) => {
    store.faults.unavailable = true;
    assert.is(await second.step(), "outage");
    // The clock stands still, so that only an answer without a wait arrives.
    for (const id of ["second", "third"] as const) {
      for (const method of ["POST", "GET"] as const) {
        const refusal = await readRefusal(send(id, method, issueKey()));
        const kind = "store_unavailable";
        assert.equal(refusal, { status: 503, retryAfter: "1", kind });
      }
    }
  }));

test.run();
