import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  buildConfig,
  createDigest,
  REGION,
  type TestPool,
} from "../../testing/fleet_simulation.ts";
import {
  BORROWER,
  createPlanInput,
  IDLE_WORKER,
  LENDER,
  NOW_MS,
  withDemand,
} from "../../testing/plan_input.ts";
import { chooseSeed } from "../../testing/random.ts";
import {
  appendDecisions,
  MAXIMUM_DECISIONS,
  MAXIMUM_REFUSED_LOANS,
} from "./decision_log.ts";
import { createDemandState, observeDemand } from "./demand.ts";
import { isWindowOpen, windowCoverage } from "../config/daily_window.ts";
import { REFUSED_LOAN_KIND } from "./loan_refusals.ts";
import { type Plan, planFleet } from "./plan.ts";
import type { PlanInput } from "./planning_context.ts";
import { createFleetRecord, type FleetRecord } from "./record.ts";
import { checkRecordChange } from "./record_check.ts";

const MINUTE_MS = 60_000;
const seed = chooseSeed();

/** Returns the input with one of the owner's VMs lent to the taker for `stayMs`. */
function withLoan(input: PlanInput, stayMs: number): PlanInput {
  const vm = input.record.vms["owner-0"];
  const lentAtMs = NOW_MS - stayMs;
  const lent = { ...vm, pool: "taker", lentAtMs } as FleetRecord["vms"][string];
  const vms = { ...input.record.vms, "owner-0": lent };
  return { ...input, record: { ...input.record, vms } };
}

function listStartedDrains(plan: Plan, kind: string): string[] {
  if (plan.kind !== "changed") return [];
  return Object.entries(plan.record.vms).filter(([, vm]) =>
    vm.state === "draining" && vm.transition?.kind === kind
  ).map(([vmId]) => vmId);
}

// Guards against loans that no demand requires, and against decisions that don't name the rejected lenders.
test("lends to a pool over its limit and names what was rejected", () => {
  const third = { ...LENDER, name: "third", maximumLentVms: 0 };
  const input = createPlanInput([LENDER, BORROWER, third]);
  const plan = planFleet(withDemand(input, { taker: { slots: 62 } }));
  assert.is(listStartedDrains(plan, "move").length, 2);
  const decision = plan.kind === "changed" ? plan.decisions[0] : undefined;
  assert.is(decision?.kind, "lend");
  assert.equal(decision?.teams, ["owner-team", "taker-team"]);
  assert.is(decision?.rejected[0]?.option, "third");
  const idle = planFleet(withDemand(input, { taker: { slots: 40 } }));
  assert.is(idle.kind, "unchanged");
});

// Guards against drains before it is known which workers are unreachable.
test("starts no drain before the workers were monitored long enough", () => {
  const input = withDemand(createPlanInput([LENDER, BORROWER]), {
    taker: { slots: 62 },
  });
  const plan = planFleet({ ...input, newDrainsBlocked: true });
  assert.is(plan.kind, "unchanged");
});

// Guards against a new controller that resumes the waves before it can know whether the failures persist.
test("a pause doesn't end before the workers were monitored long enough", () => {
  const input = createPlanInput([LENDER]);
  const maintenance = {
    ...input.record.maintenance,
    pausedReason: "test",
    pausedAtMs: 0,
  };
  const paused = { ...input, record: { ...input.record, maintenance } };
  const plan = planFleet({ ...paused, newDrainsBlocked: true });
  assert.is(plan.kind, "unchanged");
  assert.is(planFleet(paused).kind, "changed");
});

// Guards against unreachable VMs that count as available.
test("unreachable VMs count as missing from the budget", () => {
  const input = withDemand(createPlanInput([LENDER, BORROWER]), {
    taker: { slots: 62 },
  });
  const down = { ...IDLE_WORKER, reachable: false, responding: false };
  const workers = new Map(input.workers);
  for (let index = 0; index < 6; index++) workers.set(`owner-${index}`, down);
  assert.equal(listStartedDrains(planFleet({ ...input, workers }), "move"), []);
});

// Guards against oscillation: a loan must last for its minimum stay and must not end while it is needed.
test("a loan stays for its minimum stay, and longer the more moves weigh", () => {
  const idle = { owner: { slots: 0 }, taker: { slots: 20 } };
  const plan = (stayMs: number, weights = { bufferCost: 1, moves: 1 }) => {
    const config = buildConfig([LENDER, BORROWER], weights);
    const input = createPlanInput([LENDER, BORROWER], config);
    return planFleet(withDemand(withLoan(input, stayMs), idle));
  };
  assert.is(plan(MINUTE_MS / 2).kind, "unchanged");
  assert.equal(listStartedDrains(plan(2 * MINUTE_MS), "return"), ["owner-0"]);
  const careful = plan(2 * MINUTE_MS, { bufferCost: 0, moves: 1 });
  assert.is(careful.kind, "unchanged");
});

// Guards against a daily surge at the owner while its VMs are still lent.
test("a loan ends before the owner's expected surge, and none starts", () => {
  const levels = {
    owner: { slots: 10, nextUsualSlots: 62 },
    taker: { slots: 62 },
  };
  const input = createPlanInput([LENDER, BORROWER]);
  const lent = withDemand(withLoan(input, 2 * MINUTE_MS), levels);
  assert.equal(listStartedDrains(planFleet(lent), "return"), ["owner-0"]);
  assert.is(planFleet(withDemand(input, levels)).kind, "unchanged");
});

// Guards against a history that forgets the surges of earlier days.
test("demand history learns the peak of each part of the day", () => {
  const config = buildConfig([BORROWER]);
  let state = createDemandState();
  for (let minute = 0; minute < 3 * 1_440; minute++) {
    const slots = minute % 1_440 >= 600 && minute % 1_440 < 660 ? 50 : 5;
    const record = createFleetRecord(REGION);
    const load = new Map([["taker", slots]]);
    state = observeDemand(state, {
      config,
      region: REGION,
      entries: [createDigest("entry-1", record, new Map(), load)],
      listedEntries: 2,
      nowMs: Date.UTC(2026, 0, 5) + minute * MINUTE_MS,
    });
  }
  const history = state.pools.taker?.history ?? [];
  // Only one of two entries reports, so its demand counts twice.
  assert.ok((history[42] ?? 0) > 80, "10:30");
  assert.ok((history[80] ?? 99) < 20, "20:00");
});

// Guards against windows that are evaluated in the server's time zone or cut off at midnight.
test("lending windows follow their time zone and run past midnight", () => {
  const [pool] = buildConfig([LENDER]).pools;
  assert.ok(pool);
  const window = {
    timeZone: "Asia/Karachi",
    days: ["mon" as const],
    from: "22:00",
    to: "02:00",
  };
  const lending = { ...pool.lending, windows: [window] };
  const open = (atMs: number) => isWindowOpen(lending.windows, atMs);
  assert.is(open(Date.UTC(2026, 0, 5, 17, 0)), true, "Monday 22:00");
  assert.is(open(Date.UTC(2026, 0, 5, 20, 59)), true, "Tuesday 01:59");
  assert.is(open(Date.UTC(2026, 0, 5, 21, 0)), false, "Tuesday 02:00");
  assert.is(open(Date.UTC(2026, 0, 6, 17, 30)), false, "Tuesday 22:30");
});

function createDueInput(pool: Partial<TestPool>): PlanInput {
  const input = createPlanInput([{ ...LENDER, ...pool }]);
  const due = Object.entries(input.record.vms).map(([vmId, vm]) =>
    [vmId, { ...vm, maintainedAtMs: 0 }] as const
  );
  const record = { ...input.record, vms: Object.fromEntries(due) };
  return { ...input, record };
}

// Guards against waves that drain several racks at once in rack order, or one rack several times in spread order.
test("waves go rack by rack or spread", () => {
  const racks = (order: "rack" | "spread") => {
    const plan = planFleet(createDueInput({ order, concurrentVms: 4 }));
    return listStartedDrains(plan, "maintain").map((vmId) =>
      plan.kind === "changed" ? plan.record.vms[vmId]?.rack : undefined
    );
  };
  assert.is(racks("rack").length, 3);
  assert.is(new Set(racks("rack")).size, 1);
  assert.is(new Set(racks("spread")).size, 3);
});

// Guards against VMs that are stopped during their team's working hours.
test("a wave starts drains only in its windows and counts only their hours for lateness", () => {
  const at = (from: string, to: string, periodDays = 300) => {
    const input = createDueInput({ periodDays });
    const [pool] = input.config.pools;
    assert.ok(pool);
    const windows = [{
      timeZone: "UTC",
      days: ["mon", "tue", "wed", "thu", "fri", "sat", "sun"] as const,
      from,
      to,
    }].map((window) => ({ ...window, days: [...window.days] }));
    const maintenance = { ...pool.maintenance, windows };
    const config = { ...input.config, pools: [{ ...pool, maintenance }] };
    return planFleet({ ...input, config });
  };
  // The input's time is noon.
  assert.is(listStartedDrains(at("19:00", "05:00"), "maintain").length, 0);
  assert.is(listStartedDrains(at("11:00", "13:00"), "maintain").length, 1);
  const late = at("11:00", "12:30", 1);
  assert.ok(late.kind === "changed" && late.record.maintenance.late.owner);
  assert.is(windowCoverage([]), 1);
});

// Guards against a wave whose lateness is reported only after its period.
test("reports a wave that can't finish, once and early", () => {
  const late = (plan: Plan) =>
    plan.kind === "changed" ? plan.record.maintenance.late.owner ?? "" : "";
  assert.is(late(planFleet(createDueInput({ periodDays: 1 }))), "");
  const short = planFleet(createDueInput({ periodDays: 0.05 }));
  assert.match(late(short), "do not fit");
  const full = planFleet(createDueInput({ minimumServingVms: 8 }));
  assert.match(late(full), "the budget leaves no VM");
  if (full.kind !== "changed") throw new Error("expected a change");
  const again = planFleet({
    ...createDueInput({ minimumServingVms: 8 }),
    record: full.record,
  });
  assert.is(again.kind, "unchanged");
});

// Guards against a stop while a task still runs or its state is unknown.
test("a drain waits for running tasks", () => {
  const plan = planFleet(createDueInput({}));
  if (plan.kind !== "changed") throw new Error("expected a change");
  const { record } = plan;
  const entries = [createDigest("entry-1", record, new Map(), new Map())];
  const countRebooting = (runningTasks: number | undefined) => {
    const workers = new Map(
      Object.keys(record.vms).map((vmId) =>
        [vmId, { ...IDLE_WORKER, runningTasks }] as const
      ),
    );
    const next = planFleet({ ...createDueInput({}), record, entries, workers });
    const vms = next.kind === "changed" ? next.record.vms : record.vms;
    return Object.values(vms).filter((vm) => vm.state === "rebooting").length;
  };
  assert.equal([
    countRebooting(1),
    countRebooting(undefined),
    countRebooting(0),
  ], [0, 0, 1]);
});

// Guards against a log that exceeds the size of a store value or repeats decisions after a lost response.
test("the decision log is bounded and takes each decision once", () => {
  const plan = planFleet(createDueInput({}));
  const [decision] = plan.kind === "changed" ? plan.decisions : [];
  assert.ok(decision);
  assert.is(appendDecisions([decision], [decision]).length, 1);
  const many = Array.from(
    { length: MAXIMUM_DECISIONS + 5 },
    (_, index) => ({ ...decision, fleetRevision: index }),
  );
  assert.is(appendDecisions([], many).length, MAXIMUM_DECISIONS);
  const refused = many.map((item) => ({ ...item, kind: REFUSED_LOAN_KIND }));
  assert.equal(
    appendDecisions([], refused),
    refused.slice(-MAXIMUM_REFUSED_LOANS),
  );
});

// Guards against decisions that violate a budget or bound, from random starting points.
test("no plan violates a rule by its decisions", () => {
  const pool = fc.record({
    vms: fc.integer({ min: 1, max: 8 }),
    minimumServingVms: fc.integer({ min: 0, max: 8 }),
    maximumLentVms: fc.integer({ min: 0, max: 3 }),
    concurrentVms: fc.integer({ min: 1, max: 3 }),
    order: fc.constantFrom("rack" as const, "spread" as const),
    slots: fc.integer({ min: 0, max: 80 }),
  });
  const scenario = fc.record({
    pools: fc.array(pool, { minLength: 2, maxLength: 4 }),
    gone: fc.array(fc.nat(31), { maxLength: 6 }),
    due: fc.boolean(),
  });
  fc.assert(
    fc.property(scenario, ({ pools, gone, due }) => {
      const named = pools.map((item, index) => ({
        ...item,
        name: `p${index}`,
      }));
      const input = createPlanInput(named);
      const levels = Object.fromEntries(named.map((item) => [item.name, item]));
      const waves = due ? {} : input.record.maintenance.waves;
      const record = { ...input.record, maintenance: { waves, late: {} } };
      const vms = input.vms.filter((_, index) => !gone.includes(index));
      const plan = planFleet(withDemand({ ...input, record, vms }, levels));
      if (plan.kind !== "changed") return;
      assert.equal(checkRecordChange(record, plan.record, input.config), []);
    }),
    { seed, numRuns: 500 },
  );
});

test.run();
