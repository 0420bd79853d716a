import { test } from "uvu";
import * as assert from "uvu/assert";
import { LEAVING_HEADER } from "../src/constants.ts";
import { createHttpWorkerAgent } from "../src/ports/http_worker_agent.ts";
import { waitFor } from "./wait.ts";
import { startWorker, type Worker, type WorkerOptions } from "./worker.ts";

const agent = createHttpWorkerAgent();
const TASK = {
  fencingToken: 2,
  command: "run 60000",
  cores: 2,
  memoryMb: 512,
  accelerators: 0,
  leaseMs: 30_000,
};

async function withWorker(
  options: Omit<WorkerOptions, "id">,
  body: (worker: Worker) => Promise<void>,
): Promise<void> {
  const worker = await startWorker({ id: "worker-1", ...options });
  try {
    await body(worker);
  } finally {
    await worker.close();
  }
}

for (const agentPort of ["same", "own"] as const) {
  test(`agent on ${agentPort} port: a reboot waits for requests in flight and happens once per intent`, () =>
    withWorker(
      { agentPort, backend: { serviceTimeMs: 200 } },
      async ({ address, controlAddress, agent: fakeAgent, backend }) => {
        const response = fetch(`http://${address}/quoting/r/1`);
        await waitFor(
          "the request executes",
          () => backend.journal.length === 1,
        );
        await agent.reboot(controlAddress, "intent-1");
        await agent.reboot(controlAddress, "intent-1").catch(() => {});
        assert.is((await response).status, 200);
        await waitFor("the reboot is reported", async () => {
          const report = await agent.report(controlAddress).catch(() => null);
          return report?.lastRebootIntentId === "intent-1";
        });
        await agent.reboot(controlAddress, "intent-1");
        assert.equal(fakeAgent.journal.reboots, ["intent-1"]);
        const again = await fetch(`http://${address}/quoting/r/2`);
        assert.is(again.headers.get(LEAVING_HEADER), null);
      },
    ));
}

test("a drained backend server announces that it is leaving", () =>
  withWorker({}, async ({ address, controlAddress }) => {
    await agent.drain(controlAddress, "intent-1");
    const response = await fetch(`http://${address}/quoting/r/1`);
    assert.is(response.headers.get(LEAVING_HEADER), "true");
  }));

test("refuses a task with an older fencing token", () =>
  withWorker({}, async ({ controlAddress, agent: fakeAgent }) => {
    await agent.runTask(controlAddress, { ...TASK, taskId: "a" });
    try {
      await agent.runTask(controlAddress, {
        ...TASK,
        taskId: "b",
        fencingToken: 1,
      });
      assert.unreachable();
    } catch (error) {
      assert.match(String(error), /409/);
    }
    assert.equal(fakeAgent.journal.taskRuns, [{
      taskId: "a",
      fencingToken: 2,
    }]);
  }));

test("checkpoints, throttles and stops tasks, and stops a task whose lease expires", () =>
  withWorker({}, async ({ controlAddress }) => {
    for (const taskId of ["a", "b", "c"]) {
      await agent.runTask(controlAddress, { ...TASK, taskId });
    }
    await agent.runTask(controlAddress, { ...TASK, taskId: "d", leaseMs: 50 });
    await agent.checkpointTask(controlAddress, "a");
    await agent.stopTask(controlAddress, "b");
    await agent.throttleTask(controlAddress, { taskId: "c", cores: 1 });
    await waitFor("the lease expires", async () => {
      const { tasks } = await agent.report(controlAddress);
      return tasks.find((task) => task.taskId === "d")?.state === "stopped";
    });
    const { tasks } = await agent.report(controlAddress);
    assert.equal(
      tasks.map((task) => [task.state, task.usedCores]),
      [["checkpointed", 0], ["stopped", 0], ["running", 1], ["stopped", 0]],
    );
  }));

test("reports lag behind the state of the tasks", () =>
  withWorker({ agent: { reportLagMs: 300 } }, async ({ controlAddress }) => {
    await agent.report(controlAddress);
    await agent.runTask(controlAddress, { ...TASK, taskId: "a" });
    const early = await agent.report(controlAddress);
    assert.is(early.tasks.length, 0);
    await waitFor(
      "the report shows the task",
      async () => (await agent.report(controlAddress)).tasks.length === 1,
    );
  }));

test("a crashed backend server refuses connections until it restarts on the same port", () =>
  withWorker({}, async ({ address, backend }) => {
    await backend.crash();
    const refused = await fetch(`http://${address}/`).catch((error) =>
      error.cause?.code
    );
    assert.is(refused, "ECONNREFUSED");
    await backend.restart();
    assert.is((await fetch(`http://${address}/`)).status, 200);
  }));

test.run();
