import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { withDeployment } from "../../testing/faults/scenario.ts";
import { waitFor } from "../../testing/wait.ts";
import type { EntryDump } from "../admin/dump.ts";
import { SHARD_COUNT } from "./job_key.ts";
import { jobExplanationSchema } from "./job_decision_log.ts";

const SPEC = {
  pool: "quoting",
  team: "quoting-team",
  jobClass: "report",
  command: "run 200",
  cores: 1,
  memoryMb: 100,
  runTimeMs: 200,
};

/** Fields of response bodies that the test reads. */
interface Body {
  readonly key: string;
  readonly missing: readonly unknown[];
  readonly jobs: readonly unknown[];
  readonly results: readonly { readonly kind: string }[];
  readonly attempts: number;
  readonly state: { readonly outcome?: { kind: string; reason?: string } };
  readonly error: { readonly kind: string };
}

async function call(
  address: string,
  route: string,
  options: { method?: string; body?: unknown; key?: string } = {},
) {
  const response = await fetch(`http://${address}/.cowslipferry/jobs${route}`, {
    method: options.method ?? "GET",
    ...(options.body === undefined ? {} : {
      body: JSON.stringify(options.body),
    }),
    headers: options.key === undefined ? {} : {
      "idempotency-key": options.key,
    },
  });
  return {
    status: response.status,
    outcome: response.headers.get("cowslipferry-outcome"),
    retryAfter: response.headers.get("retry-after"),
    body: await response.json() as Body,
  };
}

// Guards against jobs that are visible only on their shard's owner, duplicate
// jobs for one key, and requests that hang during a store outage.
test("the job API works through any entry", async () => {
  await withDeployment({ entryCount: 2 }, async ({ entries, store }) => {
    const [a, b] = entries.map((entry) => entry.callerAddress) as [
      string,
      string,
    ];
    await waitFor("every shard has a dispatcher", async () => {
      const { status, body } = await call(a, "");
      return status === 200 && body.missing.length === 0;
    }, { timeoutMs: 30_000 });
    const submit = async (address: string, spec: unknown = SPEC) => {
      const { key } = (await call(address, "/keys", { method: "POST" })).body;
      const options = { method: "POST", body: spec, key };
      return { key, reply: await call(address, "", options) };
    };

    const submits = await Promise.all(
      Array.from({ length: 40 }, (_, index) => submit(index % 2 ? a : b)),
    );
    for (const { key, reply } of submits) {
      assert.is(reply.status, 201, JSON.stringify(reply));
      const repeat = { method: "POST", body: SPEC, key };
      assert.is((await call(a, "", repeat)).status, 200);
      const other = { ...repeat, body: { ...SPEC, cores: 2 } };
      assert.is((await call(b, "", other)).body.error.kind, "key_reused");
    }
    await waitFor("the jobs succeed", async () => {
      const { body } = await call(a, "?state=ended");
      return body.jobs.length === submits.length;
    }, { timeoutMs: 60_000 });
    for (const { key } of submits) {
      const { body } = await call(b, `/${key}`);
      assert.equal(body.state.outcome, { kind: "succeeded" });
      assert.is(body.attempts, 1);
    }

    // A class of its own: the declared size of a class whose use is known doesn't count.
    const huge = await submit(a, {
      ...SPEC,
      jobClass: "huge",
      cores: 4_000,
    });
    await waitFor("a job that fits no worker ends", async () => {
      const { body } = await call(b, `/${huge.key}`);
      return body.state.outcome?.reason === "fits_no_worker";
    }, { timeoutMs: 30_000 });

    const long = await Promise.all(
      Array.from(
        { length: 40 },
        () => submit(b, { ...SPEC, command: "run 60000" }),
      ),
    );
    for (const { reply } of long) {
      assert.is(reply.status, 201, JSON.stringify(reply));
    }
    const jobIds = long.map(({ key }) => key);
    // Guards against an admin server that shows no jobs, or whose response
    // `explain` can't parse.
    await waitFor("an admin server explains a running job", async () => {
      const answers = await Promise.all(entries.map(async (entry) => {
        const admin = `http://${entry.adminAddress}`;
        const [jobs, dump] = await Promise.all([
          fetch(`${admin}/jobs?job=${jobIds[0]}`),
          fetch(`${admin}/dump?part=jobs`),
        ]);
        return {
          ...jobExplanationSchema.parse(await jobs.json()),
          ...await dump.json() as EntryDump,
        };
      }));
      const shards = answers.flatMap(({ jobs }) => jobs?.shards ?? []);
      return shards.filter(({ active }) => active).length === SHARD_COUNT &&
        answers.some((answer) => answer.decisions[0]?.kind === "placed");
    }, { timeoutMs: 30_000 });
    const cancelled = await call(a, "/cancel", {
      method: "POST",
      body: { jobIds },
    });
    assert.is(cancelled.body.results.length, jobIds.length);
    // A shard that can't be changed in time is reported in the results, and its jobs go on.
    assert.equal(
      cancelled.body.results.filter(({ kind }) =>
        kind !== "stopping" && kind !== "not_run"
      ),
      [],
    );
    await waitFor("the cancelled jobs end", async () => {
      const { body } = await call(b, "?state=ended");
      return body.jobs.length === submits.length + jobIds.length + 1;
    }, { timeoutMs: 60_000 });

    const bad = await submit(a, { ...SPEC, pool: "nowhere", extra: 1 });
    assert.is(bad.reply.status, 400);
    assert.is(
      (await submit(a, { ...SPEC, pool: "nowhere" })).reply.status,
      422,
    );
    assert.is((await call(a, "/x")).body.error.kind, "malformed_key");

    const keys = await Promise.all(
      Array.from(
        { length: 2 * SHARD_COUNT },
        () => call(a, "/keys", { method: "POST" }),
      ),
    );
    store.faults.down = true;
    const sentAtMs = Date.now();
    const refused = await Promise.all(
      keys.map(({ body: { key } }) =>
        call(a, "", { method: "POST", body: SPEC, key })
      ),
    );
    const tookMs = Date.now() - sentAtMs;
    for (const reply of refused) {
      assert.ok(reply.status === 503 || reply.status === 504);
      assert.is.not(reply.outcome, "answer");
    }
    console.log(`${refused.length} submits refused within ${tookMs} ms`);
    store.faults.down = false;
    await waitFor("submits are accepted again", async () => {
      const { reply } = await submit(b);
      return reply.status === 201;
    }, { timeoutMs: 30_000 });
    for (const { key } of submits) {
      await waitFor("the job is found", async () => {
        const { status } = await call(a, `/${key}`);
        // A shard whose lease expired during the outage responds with 503 until
        // it is taken over again.
        assert.ok(status === 200 || status === 503, `${key}: ${status}`);
        return status === 200;
      }, { timeoutMs: 30_000 });
    }
  });
});

test.run();
process.once("beforeExit", () => process.exit());
