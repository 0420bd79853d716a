import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ValidationError } from "../errors.ts";
import { resolveConfig } from "./validate.ts";

// deno-lint-ignore no-explicit-any
type Editable = any;

function issuesOf(text: string) {
  try {
    resolveConfig(text, "test");
  } catch (error) {
    assert.instance(error, ValidationError);
    return (error as ValidationError).issues;
  }
  return [];
}

function issuesAfter(edit: (config: Editable) => void) {
  const config = JSON.parse(readFileSync("examples/khomas.json", "utf8"));
  edit(config);
  return issuesOf(JSON.stringify(config));
}

test("accepts the example configurations", () => {
  for (const file of ["examples/khomas.json", "examples/punjab-east.json"]) {
    assert.is(resolveConfig(readFileSync(file, "utf8"), file).pools.length, 5);
  }
});

const window = (to: string, timeZone = "Asia/Karachi") => ({
  windows: [{ timeZone, from: "08:00", to }],
});

/** Each edit breaks one rule; the path is that of the issue expected. */
const CASES: [string, string, (config: Editable) => void][] = [
  ["an unknown field", "$.typo", (c) => c.typo = 1],
  [
    "an unknown inner field",
    "$.pools[1].lending.max",
    (c) => c.pools[1].lending.max = 1,
  ],
  ["a missing field", "$.pools[0].vms", (c) => delete c.pools[0].vms],
  ["a wrong type", "$.pools[0].vms", (c) => c.pools[0].vms = "6"],
  [
    "an unknown value",
    "$.pools[0].maintenance.order",
    (c) => c.pools[0].maintenance.order = "any",
  ],
  [
    "a repeated team",
    "$.teams[5].name",
    (c) => c.teams.push({ name: "survey-team" }),
  ],
  [
    "a repeated service",
    "$.services[5].name",
    (c) => c.services.push({ name: "survey" }),
  ],
  ["a repeated pool", "$.pools[1].name", (c) => c.pools[1].name = "quoting"],
  ["an unknown team", "$.pools[0].team", (c) => c.pools[0].team = "nobody"],
  [
    "an unknown service",
    "$.pools[0].services[1]",
    (c) => c.pools[0].services[1] = "no",
  ],
  [
    "a service listed twice",
    "$.pools[0].services[1]",
    (c) => c.pools[0].services[1] = "quoting",
  ],
  [
    "a service with no pool",
    "$.services[5].name",
    (c) => c.services.push({ name: "idle" }),
  ],
  ["a service that no pool can serve", "$.pools[0].services[1]", (c) => {
    c.services.push({ name: "idle" });
    c.pools[0].services = ["quoting", "idle"];
    c.pools[0].lending.overflow = false;
  }],
  [
    "a second own pool",
    "$.pools[1].services[0]",
    (c) => c.pools[1].services = ["quoting"],
  ],
  ["an undeclared region", "$.pools[0].region", (c) => {
    c.regions = ["khomas"];
    c.pools[0].region = "khomsa";
  }],
  [
    "a region without a pool",
    "$.regions[1]",
    (c) => c.regions = ["khomas", "erongo"],
  ],
  [
    "a minimum above the VMs",
    "$.pools[0].availability.minimumServingVms",
    (c) => c.pools[0].availability.minimumServingVms = 7,
  ],
  [
    "a minimum that forbids maintenance",
    "$.pools[0].availability.minimumServingVms",
    (c) => {
      c.pools[0].availability.minimumServingVms = 6;
      c.pools[0].lending.maximumLentVms = 0;
    },
  ],
  [
    "lending that breaks the budget",
    "$.pools[0].lending.maximumLentVms",
    (c) => c.pools[0].lending.maximumLentVms = 4,
  ],
  [
    "maintenance longer than its period",
    "$.pools[0].maintenance.periodDays",
    (c) =>
      c.pools[0].maintenance = { periodDays: 5, vmMaintenanceMs: 86_400_000 },
  ],
  [
    "an unknown time zone",
    "$.pools[0].lending.windows[0].timeZone",
    (c) => c.pools[0].lending = window("09:00", "Mars/Base"),
  ],
  [
    "a window of no length",
    "$.pools[0].lending.windows[0].to",
    (c) => c.pools[0].lending = window("08:00"),
  ],
  [
    "a time that doesn't exist",
    "$.pools[0].lending.windows[0].to",
    (c) => c.pools[0].lending = window("24:01"),
  ],
];

for (const [fault, path, edit] of CASES) {
  test(`guards against ${fault}`, () => {
    const issues = issuesAfter(edit);
    assert.ok(
      issues.some((issue) => issue.path === path),
      JSON.stringify(issues),
    );
    for (const issue of issues) {
      assert.ok(issue.found.length > 0 && issue.expected.length > 0);
    }
  });
}

test("reports exactly the broken rule when one is broken", () => {
  const single = CASES.filter(([fault]) => !fault.includes("service"));
  for (const [fault, path, edit] of single) {
    const others = issuesAfter(edit).filter((issue) => issue.path !== path);
    assert.equal(others, [], fault);
  }
});

test("guards against problems hidden by an earlier one", () => {
  const issues = issuesAfter((c) => {
    c.typo = true;
    c.pools[0].vms = -1;
    c.pools[1].team = "nobody";
    c.pools[2].lending.maximumLentVms = 8;
    c.services.push({ name: "survey", slotsPerInstance: 0 });
  });
  assert.equal(issues.map((issue) => issue.path).sort(), [
    "$.pools[0].vms",
    "$.pools[1].team",
    "$.pools[2].lending.maximumLentVms",
    "$.services[5].name",
    "$.services[5].slotsPerInstance",
    "$.typo",
  ]);
});

test("guards against false follow-up problems of an invalid part", () => {
  const issues = issuesAfter((c) => c.teams[0].name = "UPPER");
  assert.equal(issues.map((issue) => issue.path), ["$.teams[0].name"]);
});

test("guards against a file whose resolved form the store can't hold", () => {
  const config = JSON.parse(readFileSync("examples/khomas.json", "utf8"));
  assert.is(
    issuesOf(" ".repeat(1_000_001))[0]?.expected,
    "at most 1000000 bytes",
  );
  for (let index = 0; index < 8_000; index++) {
    config.services.push({ name: `s${index}` });
    config.pools[0].services.push(`s${index}`);
  }
  const text = JSON.stringify(config);
  assert.ok(Buffer.byteLength(text) < 1_000_000);
  assert.match(issuesOf(text)[0]?.found ?? "", "with all defaults filled in");
});

test("guards against a repeated key of which one value is lost", () => {
  const text = readFileSync("examples/khomas.json", "utf8")
    .replace(
      '"vms": 8,',
      '"vms": 8, "a\\"{": [{}, {"b": 1, "b": 2}], "v\\u006ds": 9,',
    );
  const issues = issuesOf(text).filter((issue) =>
    issue.expected === "a key that is used once"
  );
  assert.equal(issues.map((issue) => issue.path), [
    '$.pools[2]["a\\"{"][1].b',
    "$.pools[2].vms",
  ]);
});

test("guards against an untyped error for deeply nested JSON", () => {
  const text = "[".repeat(400_000) + "]".repeat(400_000);
  assert.is(issuesOf(text)[0]?.found, "a deeply nested value");
});

test("guards against malformed JSON without a position", () => {
  assert.match(
    issuesOf('{"version": 1,}')[0]?.expected ?? "",
    /JSON \(.*position/,
  );
});

test.run();
