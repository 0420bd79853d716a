import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { withDeployment } from "../../testing/faults/scenario.ts";
import { waitFor } from "../../testing/wait.ts";

const JOBS = 120;
const SPEC = {
  pool: "backoffice",
  team: "backoffice-team",
  jobClass: "report",
  command: "run 1500",
  cores: 2,
  memoryMb: 100,
  runTimeMs: 1_500,
};

interface Reply {
  readonly status: number;
  readonly body: {
    key: string;
    state?: { kind: string; outcome?: { kind: string } };
  };
}

async function call(
  address: string,
  route: string,
  options: { method?: string; body?: unknown; key?: string } = {},
): Promise<Reply | undefined> {
  try {
    const response = await fetch(
      `http://${address}/.cowslipferry/jobs${route}`,
      {
        method: options.method ?? "GET",
        signal: AbortSignal.timeout(8_000),
        ...(options.body === undefined
          ? {}
          : { body: JSON.stringify(options.body) }),
        headers: options.key === undefined
          ? {}
          : { "idempotency-key": options.key },
      },
    );
    const body = await response.json() as Reply["body"];
    return { status: response.status, body };
  } catch {
    return undefined;
  }
}

// Guards against lost jobs and repeated runs when the owners of shards are
// killed or frozen. Uses real processes and leases.
test("jobs survive a killed and a frozen entry", async () => {
  await withDeployment({ entryCount: 3 }, async ({ entries, workers }) => {
    const addresses = entries.map((entry) => entry.callerAddress);
    const survivingAddresses = addresses.slice(0, 2);
    /**
     * Retries a call on alternating entries until one responds with success.
     */
    async function callUntilSuccess(
      name: string,
      route: string,
      options: Parameters<typeof call>[2],
    ): Promise<Reply> {
      let turn = 0;
      let reply: Reply | undefined;
      await waitFor(name, async () => {
        reply = await call(
          survivingAddresses[turn++ % survivingAddresses.length]!,
          route,
          options,
        );
        return reply !== undefined && reply.status < 300;
      }, { timeoutMs: 60_000 });
      return reply!;
    }
    const keys: string[] = [];
    async function submitOne(index: number): Promise<void> {
      const { body } = await callUntilSuccess("a key", "/keys", {
        method: "POST",
      });
      const spec = { ...SPEC, idempotent: index % 2 === 0 };
      const options = { method: "POST", body: spec, key: body.key };
      await callUntilSuccess("the job is accepted", "", options);
      keys[index] = body.key;
    }
    async function submitAll(): Promise<void> {
      let next = 0;
      await Promise.all(
        Array.from({ length: 6 }, async () => {
          while (next < JOBS) await submitOne(next++);
        }),
      );
    }
    async function injectFaults(): Promise<void> {
      await delay(2_000);
      entries[2]!.process.kill("SIGKILL");
      await delay(2_000);
      entries[1]!.process.kill("SIGSTOP");
      await delay(6_000);
      entries[1]!.process.kill("SIGCONT");
    }
    await Promise.all([submitAll(), injectFaults()]);

    const outcomes: Record<string, number> = {};
    for (const key of keys) {
      let kind: string | undefined;
      await waitFor("the job ends", async () => {
        const reply = await call(survivingAddresses[0]!, `/${key}`);
        assert.is.not(reply?.status, 404, `${key} is lost`);
        kind = reply?.body.state?.outcome?.kind;
        return kind !== undefined;
      }, { timeoutMs: 120_000 });
      outcomes[kind!] = (outcomes[kind!] ?? 0) + 1;
    }
    const tasks = new Map<string, Set<string>>();
    for (const { id, controlAddress } of workers.values()) {
      const response = await fetch(`http://${controlAddress}/v1/report`);
      const report = await response.json() as { tasks: { taskId: string }[] };
      for (const { taskId } of report.tasks) {
        const jobId = taskId.split("~")[0]!;
        const jobTasks = tasks.get(jobId) ?? new Set();
        tasks.set(jobId, jobTasks.add(`${id} ${taskId}`));
      }
    }
    keys.forEach((key, index) => {
      const runs = tasks.get(key)?.size ?? 0;
      if (index % 2 === 1) assert.ok(runs <= 1, `${key} ran ${runs} times`);
    });
    console.log(`${keys.length} accepted`, outcomes);
    assert.is(keys.length, JOBS);
  });
});

test.run();
process.once("beforeExit", () => process.exit());
