import assert from "node:assert/strict";
import { suite } from "uvu";
import { createDurationEstimates } from "./duration_estimates.ts";
import {
  comparePendingOccurrences,
  createPendingOccurrence,
} from "./job_order.ts";
import { createDueOccurrences, createJobState } from "./job_state.ts";
import { jobSpecSchema } from "./model.ts";
import type { QueueConfig } from "./ports.ts";

const test = suite("job order");

const queue: QueueConfig = {
  name: "quotes",
  host: "",
  pathPrefix: "/",
  service: "quoting",
  priority: 0,
  maximumAttempts: 3,
  stretch: 1.6,
  targetDurationMs: 600,
  needsAdvice: false,
};

function createPending(
  options: { ageMs: number; taskCount?: number; longRunning?: boolean },
  priority = 0,
) {
  const wallMs = 1_000_000;
  const job = createJobState(jobSpecSchema.parse({
    jobId: "0123456789abcdef",
    queue: "quotes",
    service: "quoting",
    maximumAttempts: 3,
    specification: "",
    steps: [{
      taskCount: options.taskCount ?? 1,
      cpuMillis: 1_000,
      estimatedMs: 1_000,
      longRunning: options.longRunning ?? false,
    }],
    acceptedAtMs: wallMs - options.ageMs,
  }));
  createDueOccurrences(job, wallMs);
  return createPendingOccurrence(job, job.occurrences[0]!, {
    wallMs,
    durationEstimates: createDurationEstimates(),
    queue: { ...queue, priority },
  });
}

// Guards against a surge in which every job is late because it waits behind jobs that are already late.
test("surge: jobs that can still be on time go before late ones", () => {
  const late = createPending({ ageMs: 2_000 });
  const fresh = createPending({ ageMs: 100 });
  assert.equal(late.timeliness, "late");
  assert.equal(fresh.timeliness, "on_time");
  assert.ok(comparePendingOccurrences(fresh, late) < 0);
});

// Guards against first-come, first-served order, in which a job misses its objective while another has time left.
test("surge: of two on-time jobs the one with the earlier latest start goes first", () => {
  assert.ok(
    comparePendingOccurrences(
      createPending({ ageMs: 900 }),
      createPending({ ageMs: 100 }),
    ) < 0,
  );
});

// Guards against one big late job making many small ones useless as well.
test("surge: of late jobs the one with the least remaining work goes first", () => {
  const big = createPending({ ageMs: 3_000, taskCount: 20 });
  const small = createPending({ ageMs: 2_000, taskCount: 2 });
  assert.deepEqual([big.timeliness, small.timeliness], ["late", "late"]);
  assert.ok(comparePendingOccurrences(small, big) < 0);
});

// Guards against starvation: overdue jobs still run, oldest first.
test("overdue jobs come last, by age", () => {
  const old = createPending({ ageMs: 60_000 });
  const older = createPending({ ageMs: 90_000 });
  assert.equal(old.timeliness, "overdue");
  assert.ok(comparePendingOccurrences(older, old) < 0);
  assert.ok(
    comparePendingOccurrences(createPending({ ageMs: 3_000 }), older) < 0,
  );
});

// Guards against batch work displacing serving tasks.
test("long-running tasks, then priority, rank before timeliness", () => {
  const longRunning = createPending({ ageMs: 0, longRunning: true });
  assert.ok(
    comparePendingOccurrences(longRunning, createPending({ ageMs: 500 })) < 0,
  );
  assert.ok(
    comparePendingOccurrences(
      createPending({ ageMs: 3_000 }, 0),
      createPending({ ageMs: 0 }, 1),
    ) < 0,
  );
});

test.run();
