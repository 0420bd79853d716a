import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseSeed } from "../../testing/random.ts";
import { jobSpecSchema, type Size } from "./job.ts";
import { type Candidate, placeJobs } from "./placement.ts";
import { UsageProfiles } from "./profiles.ts";
import { UsageDistribution } from "./usage_distribution.ts";
import type { WorkerView } from "./worker_view.ts";

const seed = chooseSeed();

const WORKER: WorkerView = {
  vmId: "w0",
  incarnation: "1",
  controlAddress: "w0",
  pool: "a",
  rack: "rack-0",
  capacity: { cores: 16, memoryMb: 8_192, accelerators: 0 },
  serving: true,
  standing: "normal",
  rebootIntentId: undefined,
  tasks: [],
  hold: undefined,
};

const SPEC = jobSpecSchema.parse({
  pool: "a",
  team: "t",
  jobClass: "report",
  command: "run 1",
  cores: 8,
  memoryMb: 4_096,
  runTimeMs: 1,
  priority: "normal",
});

/** Returns what is reserved for the class once ten runs used this much. */
function reservationAfterRuns(cores: number, memoryMb: number): Size {
  const profiles = new UsageProfiles();
  for (let run = 0; run < 10; run++) {
    profiles.add(SPEC, { cores, memoryMb, runTimeMs: 100 });
  }
  return profiles.reservationFor(SPEC, [WORKER.capacity]);
}

function createCandidate(jobId: string, size: Size): Candidate {
  return { jobId, spec: SPEC, size, waitedMs: 0, failedOn: [] };
}

// Guards against half of a pool left idle: with reservations rounded up, two
// jobs that use half of a worker each no longer fit it.
test("jobs that use half of a worker still share it once their usage is known", () => {
  const size = reservationAfterRuns(8, 4_096);
  const candidates = ["a", "b"].map((id) => createCandidate(id, size));
  const decisions = placeJobs({
    candidates,
    workers: [WORKER],
    quotas: new Map(),
  });
  assert.equal(decisions.map(({ kind }) => kind), ["place", "place"]);
});

// Guards against jobs that are rejected, because their rounded reservation
// exceeds a quota that their usage doesn't exceed.
test("a job that uses its team's full quota isn't rejected", () => {
  const candidate = createCandidate("a", reservationAfterRuns(8, 4_096));
  const [decision] = placeJobs({
    candidates: [candidate],
    workers: [WORKER],
    quotas: new Map([["t", { cores: 8, memoryMb: 4_096 }]]),
  });
  assert.is(decision?.kind, "place");
});

// Guards against percentiles that no run has used, and against those that more
// runs exceed than stated.
test("percentiles of usage are recorded values that enough runs don't exceed", () => {
  const usage = fc.double({ min: 0, max: 100_000, noNaN: true });
  const property = fc.property(
    fc.array(usage, { minLength: 1, maxLength: 200 }),
    fc.integer({ min: 1, max: 100 }),
    (usages, percentile) => {
      const distribution = new UsageDistribution(100);
      for (const value of usages) distribution.record(value);
      const result = distribution.atPercentile(percentile);
      const notExceeding = usages.filter((value) => value <= result).length;
      assert.ok(usages.includes(result), `${result} wasn't recorded`);
      assert.ok(notExceeding >= usages.length * percentile / 100);
    },
  );
  fc.assert(property, { seed, numRuns: 500 });
});

test.run();
