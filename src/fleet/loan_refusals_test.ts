import { test } from "uvu";
import * as assert from "uvu/assert";
import { buildConfig, type TestPool } from "../../testing/fleet_simulation.ts";
import {
  BORROWER,
  createPlanInput,
  LENDER,
  withDemand,
} from "../../testing/plan_input.ts";
import { createRefusalFilter } from "./loan_refusals.ts";
import { planFleet } from "./plan.ts";

interface Case {
  readonly owner?: Partial<TestPool>;
  /** End of the owner's window, which starts at 11:00; the step is at noon. */
  readonly windowEnd?: string;
  readonly ownerSlots?: number;
  readonly nextUsualSlots?: number;
  readonly moves?: number;
}

function buildCase({ owner, windowEnd, moves = 0 }: Case) {
  const pools = [{ ...LENDER, ...owner }, BORROWER];
  const config = buildConfig(pools, { bufferCost: 1, moves });
  const windows = windowEnd === undefined ? [] : [{
    timeZone: "UTC",
    days: ["wed" as const],
    from: "11:00",
    to: windowEnd,
  }];
  const limited = config.pools.map((pool) => ({
    ...pool,
    lending: { ...pool.lending, windows },
  }));
  return createPlanInput(pools, { ...config, pools: limited });
}

const CASES: [reason: string, options: Case][] = [
  ["its lending bound is reached", { owner: { maximumLentVms: 0 } }],
  ["its budget leaves no VM", { owner: { minimumServingVms: 8 } }],
  ["its lending window is closed", { windowEnd: "11:30" }],
  [
    "its lending window closes within the minimum stay",
    { windowEnd: "12:10" },
  ],
  ["its own demand needs the VM", { ownerSlots: 60 }],
  ["hysteresis", { ownerSlots: 48 }],
  ["its expected surge", { ownerSlots: 10, nextUsualSlots: 62 }],
  ["the weights", { ownerSlots: 36, moves: 9 }],
];

for (const [reason, options] of CASES) {
  test(`guards against a refusal that can't be explained: ${reason}`, () => {
    const { ownerSlots: slots = 0, nextUsualSlots = slots } = options;
    const plan = planFleet(withDemand(buildCase(options), {
      owner: { slots, nextUsualSlots },
      taker: { slots: 63 },
    }));
    // A refusal must not change the record, which would be written in each step.
    assert.is(plan.kind, "unchanged");
    const [decision] = plan.kind === "unchanged" ? plan.refusedLoans : [];
    assert.equal(decision?.teams, ["taker-team"]);
    assert.is(decision?.facts["wantedVms"], options.moves ? 2 : 3);
    assert.is(decision?.rejected[0]?.option, "owner");
    assert.match(decision?.rejected[0]?.reason ?? "", reason);
  });
}

test("guards against repeated refusals of a pool that lacks VMs for two needs", () => {
  const pools = [{ ...LENDER, maximumLentVms: 0 }, {
    ...BORROWER,
    minimumServingVms: 9,
  }];
  const plan = planFleet(
    withDemand(createPlanInput(pools), { taker: { slots: 63 } }),
  );
  const refusals = plan.kind === "unchanged" ? plan.refusedLoans : [];
  assert.equal(refusals.map(({ facts }) => facts["need"]), [
    "budget",
    "demand",
  ]);
  const { select } = createRefusalFilter();
  assert.is(select(refusals, 0).length, 2);
  assert.equal(select(refusals, 600_000), []);
});

test.run();
