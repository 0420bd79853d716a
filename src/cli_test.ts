import { readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  EXPLAINED_JOB,
  type OperatorPlatform,
  runProgram,
  startOperatorPlatform,
} from "../testing/operator_platform.ts";
import { decisionLogKey } from "./fleet/decision_log.ts";
import { fleetKey } from "./fleet/record.ts";
import { jobDecisionLogKey } from "./jobs/job_decision_log.ts";

const CONFIG_FILE = "examples/khomas.json";
const UNREACHABLE_URL = "http://127.0.0.1:1";

function withPlatform(
  name: string,
  run: (platform: OperatorPlatform) => Promise<void>,
): void {
  test(name, async () => {
    const platform = await startOperatorPlatform();
    try {
      await run(platform);
    } finally {
      await platform.close();
    }
  });
}

// Guards against exit codes that scripts can't rely on.
test("the exit code tells success, refusal, wrong usage and an unreachable platform apart", async () => {
  const cases: [number, string][] = [
    [0, "--version"],
    [0, "apply --help"],
    [0, "explain vm --help"],
    [0, `check ${CONFIG_FILE}`],
    [1, "check package.json"],
    [1, "check no-such-file.json"],
    [2, "no-such-command"],
    [2, "check"],
    [2, "explain vm"],
    [
      2,
      `explain job x --store ${UNREACHABLE_URL} --vm-list ${UNREACHABLE_URL}`,
    ],
    [2, `apply ${CONFIG_FILE}`],
    [2, `apply ${CONFIG_FILE} --store http://localhost:1`],
    [2, `apply ${CONFIG_FILE} --store ${UNREACHABLE_URL} --wait`],
    [2, `apply ${CONFIG_FILE} --expect-revision -1`],
    [2, `status --store ${UNREACHABLE_URL}`],
    [2, `explain vm x --store ${UNREACHABLE_URL}`],
    [3, `apply ${CONFIG_FILE} --store ${UNREACHABLE_URL}`],
    [3, `diff ${CONFIG_FILE} --store ${UNREACHABLE_URL}`],
  ];
  await Promise.all(cases.map(async ([code, line]) => {
    const result = await runProgram(line);
    assert.is(result.code, code, `${line}: ${result.stderr}`);
  }));
});

test("errors are printed as JSON with --json", async () => {
  const { stdout } = await runProgram("check package.json --json");
  const { kind, error } = JSON.parse(stdout);
  assert.is(kind, "error");
  assert.is(error.kind, "validation");
  assert.ok(error.issues.length > 3);
});

withPlatform(
  "apply --wait reports success only once every live entry has the revision",
  async ({ run, addEntry, frozen }) => {
    const { stdout } = await run(`apply ${CONFIG_FILE} --wait --json`);
    const done = JSON.parse(stdout);
    assert.is(done.kind, "accepted");
    assert.is(done.rollOut.result.kind, "in_force");
    assert.is(done.rollOut.result.entries.length, 2);
    assert.ok(done.rollOut.elapsedMs > 0);
    addEntry("entry-3", frozen.address);
    const late = await run(`apply ${CONFIG_FILE} --wait --timeout-ms 3000`);
    assert.is(late.code, 3);
    assert.match(late.stdout, "unchanged: revision 1");
    assert.match(late.stdout, "entry-3: revision 0");
    assert.not.match(late.stdout, "entry-1");
  },
);

withPlatform(
  "a conflict shows the changes that the file would make",
  async ({ run, folder }) => {
    assert.is((await run(`apply ${CONFIG_FILE}`)).code, 0);
    const file = join(folder, "changed.json");
    const config = JSON.parse(await readFile(CONFIG_FILE, "utf8"));
    config.pools[0].vms = 7;
    await writeFile(file, JSON.stringify(config));
    const refused = await run(`apply ${file} --expect-revision 0`);
    assert.is(refused.code, 1);
    assert.match(refused.stdout, "vms: 6 -> 7");
    const diff = JSON.parse((await run(`diff ${file} --json`)).stdout);
    assert.is(diff.revision, 1);
    assert.equal(diff.changes, [{
      kind: "changed",
      section: "pools",
      name: "quoting",
      fields: [{ path: "vms", before: 6, after: 7 }],
    }]);
    assert.is((await run(`apply ${file} --expect-revision 1`)).code, 0);
  },
);

function vm(state: string, pool: string, rest: object = {}) {
  const location = { incarnation: "1", dataCentre: "khomas-1", rack: "r" };
  const times = { changedAtMs: 1, maintainedAtMs: 0 };
  return { pool, homePool: "quoting", state, ...location, ...times, ...rest };
}

function putFleet(store: OperatorPlatform["store"]): void {
  const intent = { intentId: "i", startedAtMs: 1, fleetRevision: 3 };
  const transition = { ...intent, kind: "maintain", reason: "period" };
  const revisions = { schemaVersion: 1, revision: 4, configRevision: 1 };
  const record = {
    ...revisions,
    region: "khomas",
    maintenance: { waves: { quoting: 9 }, late: { survey: "too slow" } },
    vms: {
      "q-1": vm("serving", "quoting", { maintainedAtMs: 10 }),
      "q-2": vm("rebooting", "quoting", { transition }),
      "q-3": vm("serving", "cutshop"),
    },
  };
  const decision = {
    atMs: 5,
    fleetRevision: 4,
    kind: "lend",
    vmId: "q-3",
    pools: ["quoting", "cutshop"],
    teams: ["quoting-team"],
    summary: "cutshop needs a VM",
    facts: { demandSlots: 60 },
    rejected: [{ option: "survey", reason: "budget" }],
  };
  const refused = {
    atMs: 6,
    fleetRevision: 4,
    kind: "loan_refused",
    pools: ["dispatch"],
    teams: ["dispatch-team"],
    summary: "dispatch asks for 2 more VM(s)",
    facts: { need: "demand", wantedVms: 2 },
    rejected: [{ option: "survey", reason: "its lending window is closed" }],
  };
  const put = (key: string, value: object) =>
    store.values.set(key, { value: JSON.stringify(value), version: 1 });
  put(fleetKey("khomas"), record);
  put(decisionLogKey("khomas"), { decisions: [decision, refused] });
  const { fleetRevision: _, pools: __, teams: ___, ...reasons } = decision;
  const quarantined = { ...reasons, kind: "quarantined", summary: "blamed" };
  put(jobDecisionLogKey("khomas", 0), {
    decisions: [{ ...quarantined, jobId: EXPLAINED_JOB }],
  });
}

withPlatform(
  "status shows broken budgets, loans and late maintenance waves",
  async ({ run, store }) => {
    await run(`apply ${CONFIG_FILE}`);
    putFleet(store);
    const status = JSON.parse((await run("status --json")).stdout);
    const [region] = status.regions;
    assert.equal(region.budgets[0], {
      pool: "quoting",
      team: "quoting-team",
      minimumServingVms: 3,
      ownServingVms: 1,
      marginVms: -2,
      ownedVms: 3,
      lentVms: 1,
      borrowedVms: 0,
      missing: { rebooting: 1 },
    });
    assert.is(region.budgets[1].borrowedVms, 1);
    assert.equal(region.waves[0], {
      pool: "quoting",
      endMs: 9 + 21 * 86_400_000,
      maintainedVms: 1,
      remainingVms: 2,
      inProgress: ["q-2"],
    });
    assert.equal(region.lateWaves, { survey: "too slow" });
    assert.equal(region.loans.map((loan: { vmId: string }) => loan.vmId), [
      "q-3",
    ]);
    assert.is(status.entries.length, 3);
    // Each of the two live entries reports its own shards.
    assert.equal(status.jobs[0].pools[0], {
      pool: "quoting",
      queued: 6,
      running: 4,
      urgentWaitMs: 1_234,
    });
    assert.is(status.jobs[0].pools.length, 5);
    assert.is(status.jobs[0].missingShards.length, 15);
    const watch = await run("status --watch --count 2 --interval-ms 100");
    assert.is(watch.stdout.match(/BUDGET SHORT/g)?.length, 10);
    assert.match(watch.stdout, "quoting: 6 queued, 4 running, longest urgent");
  },
);

withPlatform(
  "read-only commands print their results and leave the store unchanged",
  async ({ run, store }) => {
    await run(`apply ${CONFIG_FILE}`);
    putFleet(store);
    const before = JSON.stringify([...store.values]);
    const { writes } = store.counts;
    const lines = {
      [`diff ${CONFIG_FILE}`]: "no changes from revision 1",
      status: "configuration: revision 1",
      dump: "entry-2",
      "dump entry-1": "entry-1",
      "explain vm q-3": "cutshop needs a VM",
      "explain vm q-2": 'state: "rebooting"',
      "explain vm q-2 --limit 5": `job ${EXPLAINED_JOB}: placed q-2`,
      "explain vm q-3 --limit 9": "quarantined q-3: blamed",
      "explain vm q-3 --limit 8": 'standing: "quarantined"',
      "explain pool quoting": "cutshop needs a VM",
      "explain team quoting-team": "cutshop needs a VM",
      "explain team quoting-team --limit 1": "marginVms: -2",
      "explain pool dispatch": "loan_refused: dispatch asks for 2 more VM(s)",
      "explain team dispatch-team":
        "rejected survey: its lending window is closed",
      "explain request r-1": 'outcome: "answer"',
      [`explain job ${EXPLAINED_JOB}`]: "no_capacity (dispatcher of entry-1)",
      [`explain job ${EXPLAINED_JOB} --limit 9`]: "2 recent decision(s)",
      [`explain job ${EXPLAINED_JOB} --limit 1`]: "rejected 2 worker(s): too",
    };
    for (const [line, expected] of Object.entries(lines)) {
      const result = await run(line);
      assert.is(result.code, 0, result.stderr);
      assert.match(result.stdout, expected);
    }
    assert.is(JSON.stringify([...store.values]), before);
    assert.is(store.counts.writes, writes);
    assert.is((await run("dump entry-9")).code, 1);
  },
);

withPlatform(
  "status prints what it can read when the store is down",
  async ({ run, store }) => {
    store.faults.down = true;
    const status = await run("status");
    assert.is(status.code, 3);
    assert.match(status.stdout, "unreadable: configuration");
    assert.match(status.stdout, "entry entry-1");
  },
);

test.run();
