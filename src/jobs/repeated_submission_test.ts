import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFakeStore } from "../../testing/fake_store.ts";
import { REGION } from "../../testing/fleet_simulation.ts";
import { createJobSpec, issueKeyForShard } from "../../testing/job_helpers.ts";
import { JobSimulation } from "../../testing/job_simulation.ts";
import { createObservable } from "../observable.ts";
import { StoreError } from "../errors.ts";
import { JOBS_PATH } from "./job_reply.ts";
import { JobRoutes } from "./routes.ts";
import { shardKey } from "./shard.ts";

// Guards against a repeated submission that is answered with `not_run` although
// the first one is stored: its response was lost, and its team was removed.
test("an invalid submission whose first attempt may be stored isn't refused as not run", async () => {
  const state = { losesWrites: false, unreachable: false };
  const store = createFakeStore({
    beforeCall({ method, key }) {
      if (key !== shardKey(REGION, 0)) return;
      if (state.unreachable && method !== "acquireLease") {
        throw new StoreError("unknown_outcome", "The response was lost");
      }
    },
  });
  const jobs = new JobSimulation({ store, workerCount: 2 });
  const [dispatcher] = jobs.createEntryDispatchers("first", [0]);
  await dispatcher!.step();
  const routes = new JobRoutes({
    entryId: "first",
    region: REGION,
    entries: createObservable([]),
    config: jobs.config,
    dispatcherOf: () => dispatcher!,
    clock: jobs.clock,
  });
  const { key } = issueKeyForShard(0, jobs.nowMs);
  const send = () =>
    routes.handle({
      method: "POST",
      url: JOBS_PATH,
      body: Buffer.from(JSON.stringify(createJobSpec())),
      key,
      forwardedBy: undefined,
      deadlineAtMs: undefined,
    });
  store.faults.loseAnswers = 1;
  const compareAndSwap = store.compareAndSwap.bind(store);
  store.compareAndSwap = (request) =>
    compareAndSwap(request).finally(() => state.unreachable = true);
  const first = send();
  await dispatcher!.writer.flush();
  const stored = store.history(shardKey(REGION, 0)).at(-1)!.value;
  assert.ok(stored.includes(key), "the first attempt is stored");
  const applied = jobs.config.get()!;
  jobs.config.set({
    ...applied,
    config: { ...applied.config, teams: [] },
  });
  const second = await send();
  assert.is(second.outcome, "outcome_unknown");
  void Promise.resolve(first).catch(() => {});
});

test.run();
