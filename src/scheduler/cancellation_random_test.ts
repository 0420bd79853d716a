import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import { FakeRecordStore } from "../../testing/fake_record_store.ts";
import { FreezePoint } from "../../testing/freeze_point.ts";
import { chooseSeed, createRandom } from "../../testing/random.ts";
import { QUEUE } from "../../testing/scheduler_cluster.ts";
import { systemClock } from "../clock.ts";
import { silentLogger } from "../logger.ts";
import { createJobFrontend, type JobFrontend } from "./job_frontend.ts";
import { STORE_KEYS } from "./ownership.ts";
import { createStoreHealth } from "./store_health.ts";
import { createWithdrawals } from "./withdrawals.ts";

const test = suite("random submissions and cancellations");
const seed = chooseSeed();

const JOBS = 400;
const WORKSPACES = ["", "a", "b"];
/** Time over which the jobs are spread, in ms. */
const TRAFFIC_MS = 4_000;
const LATE_MS = 1_500;

interface Entry {
  readonly frontend: JobFrontend;
  readonly freezePoint: FreezePoint;
}

function createEntry(fake: FakeRecordStore, id: string): Entry {
  const freezePoint = new FreezePoint();
  const store = freezePoint.wrap("store", fake.client(id));
  const frontend = createJobFrontend({
    store,
    withdrawals: createWithdrawals({ store }),
    health: createStoreHealth(systemClock),
    clock: systemClock,
    log: silentLogger,
    config: () => undefined,
    ownerClient: () => undefined,
    onOwnerResponse() {},
    onOwnerUnresponsive() {},
    onOwnerChanged() {},
  });
  return { frontend, freezePoint };
}

// Guards against a job that runs after its cancellation was answered, whichever writes are late, lost or held up in a suspended entry, and against effects on a job of another workspace.
test("no job is stored after it was cancelled as unknown", async () => {
  const random = createRandom(seed);
  const fake = new FakeRecordStore(random);
  fake.faults.lateMs = LATE_MS;
  const entries = ["1", "2", "3"].map((id) => createEntry(fake, id));
  const choose = <T>(items: readonly T[]) =>
    items[random.nextInteger(items.length)]!;
  const counts: Record<string, number> = {};
  const violations: string[] = [];
  const checks: (() => void)[] = [];

  async function play(index: number): Promise<void> {
    const jobId = index.toString(16).padStart(16, "0");
    const submitter = choose(WORKSPACES);
    const canceller = random.next() < 0.8 ? submitter : choose(WORKSPACES);
    const context = (workspace: string) => ({
      requestId: "",
      workspace,
      deadlineMs: performance.now() + 1_000,
    });
    const submit = async () =>
      (await choose(entries).frontend.submit(
        QUEUE,
        { jobId, specification: "", steps: [{ taskCount: 1 }] } as never,
        context(submitter),
      )).kind;
    await delay(random.next() * TRAFFIC_MS);
    const submissions = [submit()];
    await delay(random.next() * 1_200);
    const { kind } = await choose(entries).frontend.cancel(
      jobId,
      context(canceller),
    );
    counts[kind] = (counts[kind] ?? 0) + 1;
    const wasStored = fake.items.has(STORE_KEYS.jobPrefix + jobId);
    if (random.next() < 0.5) submissions.push(submit());
    const outcomes = await Promise.all(submissions);
    checks.push(() => {
      const isStored = fake.items.has(STORE_KEYS.jobPrefix + jobId);
      const isCancelled = fake.items.has(STORE_KEYS.cancelPrefix + jobId);
      const isOwn = submitter === canceller;
      const found = `${jobId}: ${outcomes}, then ${kind}`;
      if (isOwn && kind === "unknown_job" && isStored) {
        violations.push(`${found}, but stored`);
      }
      if (kind === "cancelled" && !(isOwn && wasStored && isCancelled)) {
        violations.push(`${found}, but not cancelled`);
      }
      if (outcomes.includes("accepted") && !isStored) {
        violations.push(`${found}, but not stored`);
      }
      if (!isOwn && (isCancelled || outcomes.includes("withdrawn"))) {
        violations.push(`${found} by another workspace`);
      }
    });
  }

  const jobs = Promise.all(Array.from({ length: JOBS }, (_, i) => play(i + 1)));
  const suspended = new Set<Entry>();
  const endMs = performance.now() + TRAFFIC_MS;
  while (performance.now() < endMs) {
    fake.faults.lateChangeRate = choose([0, 0.4, 0.8]);
    fake.faults.lostAnswerRate = choose([0, 0.3]);
    const entry = choose(entries);
    if (!suspended.has(entry) && random.next() < 0.5) {
      suspended.add(entry);
      entry.freezePoint.freezeAt(
        "store.change",
        choose(["request", "response"]),
      );
      setTimeout(() => {
        suspended.delete(entry);
        entry.freezePoint.resume();
      }, 200 + random.next() * 1_500);
    }
    await delay(250);
  }
  fake.faults.lateChangeRate = 0;
  fake.faults.lostAnswerRate = 0;
  await jobs;
  await delay(LATE_MS + 500);
  for (const check of checks) check();
  assert.deepEqual(violations, [], `seed ${seed}`);
  assert.ok((counts.unknown_job ?? 0) > 20, JSON.stringify(counts));
  assert.ok((counts.cancelled ?? 0) > 20, JSON.stringify(counts));
});

test.run();
