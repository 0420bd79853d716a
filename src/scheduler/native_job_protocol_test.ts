import assert from "node:assert/strict";
import { createServer } from "node:http";
import { suite } from "uvu";
import { request } from "undici";
import { listenOnLoopback } from "../../testing/http_json_server.ts";
import { QUEUE } from "../../testing/scheduler_cluster.ts";
import { systemClock } from "../clock.ts";
import type { JobFrontend } from "./job_frontend.ts";
import { createJobListener } from "./job_api.ts";
import type { Submission } from "./model.ts";
import { nativeJobProtocol } from "./native_job_protocol.ts";
import { ConnectionBudget } from "../connections/connection_budget.ts";
import {
  resolveConnectionLimits,
  vmLimitsSchema,
} from "../connections/connection_limits.ts";
import { createAuthenticator } from "./workspaces/authentication.ts";
import { createRequestStats } from "./request_stats.ts";

const test = suite("native job protocol");

const PATH = `/.cowslipferry/queues/${QUEUE.name}/jobs`;
const JOB = "0123456789abcdef";

async function withServer(
  frontend: Partial<JobFrontend>,
  body: (
    send: (
      method: "GET" | "POST" | "DELETE",
      path: string,
      body?: unknown,
    ) => Promise<{ status: number; body: unknown }>,
  ) => Promise<void>,
): Promise<void> {
  const config = {
    version: 1,
    queues: [QUEUE],
    sparePools: [],
    services: [],
    maximumBodyBytes: 10_000,
  };
  const server = await listenOnLoopback(createServer(createJobListener({
    protocols: [nativeJobProtocol],
    frontend: frontend as JobFrontend,
    operator: { config: () => config, configAgeMs: () => 0 },
    authenticator: createAuthenticator({ strict: false, revocationMs: 5_000 }),
    stats: createRequestStats(systemClock),
    budget: new ConnectionBudget(
      resolveConnectionLimits(vmLimitsSchema.parse({})),
    ),
    clock: systemClock,
    isStopping: () => false,
  })));
  try {
    await body(async (method, path, sent) => {
      const response = await request(`http://${server.address}${path}`, {
        method,
        ...(sent === undefined ? {} : { body: JSON.stringify(sent) }),
      });
      return {
        status: response.statusCode,
        body: await response.body.json(),
      };
    });
  } finally {
    await server.close();
  }
}

// Guards against fields or defaults that are lost in a job with several steps.
test("a job of several steps is accepted with its fields and defaults", async () => {
  const seen: Submission[] = [];
  await withServer({
    submit: (_, submission) => {
      seen.push(submission);
      return Promise.resolve({ kind: "accepted" });
    },
  }, async (send) => {
    const reply = await send("POST", `${PATH}/${JOB}`, {
      specification: "frames for order 7",
      steps: [
        { taskCount: 2, cpuMillis: 500, memoryMb: 256 },
        { taskCount: 1, after: [0], longRunning: true, mayMiss: 1 },
      ],
    });
    assert.equal(reply.status, 200);
  });
  const [job] = seen;
  assert.deepEqual(
    job!.steps.map(({ taskCount, cpuMillis, after, mayMiss }) => [
      taskCount,
      cpuMillis,
      after,
      mayMiss,
    ]),
    [[2, 500, [], undefined], [1, 0, [0], 1]],
  );
  assert.equal(job!.repeatCount, 0);
});

// Guards against ignoring a misspelt field and against reporting only the first error.
test("an invalid job is refused with every error and its path", async () => {
  await withServer({}, async (send) => {
    const reply = await send("POST", `${PATH}/${JOB}`, {
      specification: "",
      steps: [{ taskCount: 0, cpuMilis: 500 }],
    });
    assert.equal(reply.status, 400);
    const { error } = reply.body as { error: string };
    assert.match(error, /steps\[0\]\.taskCount/);
    assert.match(error, /cpuMilis/);
  });
});

// Guards against responses in a format that callers can't parse.
test("responses to status and count requests and for unknown queues", async () => {
  await withServer({
    status: () => Promise.resolve({ kind: "status", status: "running" }),
    countWaiting: () => Promise.resolve({ kind: "count", jobs: 3 }),
    cancel: () => Promise.resolve({ kind: "cancelled" }),
  }, async (send) => {
    assert.deepEqual(await send("GET", `${PATH}/${JOB}`), {
      status: 200,
      body: { status: "running" },
    });
    assert.deepEqual(await send("GET", PATH), {
      status: 200,
      body: { waitingJobs: 3 },
    });
    assert.equal((await send("DELETE", `${PATH}/${JOB}`)).status, 200);
    assert.equal((await send("GET", `${PATH}/short`)).status, 404);
    assert.equal(
      (await send("GET", "/.cowslipferry/queues/other/jobs")).status,
      404,
    );
  });
});

// Guards against callers who can't tell why their job has failed, and against a failed read of the reason
// that hides the status.
test("the status of a failed job comes with the reason, if it can be read", async () => {
  for (
    const failureReason of ["task 0.0.1 has used up its attempts", undefined]
  ) {
    await withServer({
      status: () => Promise.resolve({ kind: "status", status: "failed" }),
      failureReason: () => Promise.resolve(failureReason),
    }, async (send) => {
      const { status, body } = await send("GET", `${PATH}/${JOB}`);
      assert.equal(status, 200);
      assert.deepEqual(
        body,
        failureReason === undefined
          ? { status: "failed" }
          : { status: "failed", failureReason },
      );
    });
  }
});

test.run();
