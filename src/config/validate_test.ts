import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ValidationError } from "../errors.ts";
import { resolveConfig } from "./validate.ts";

function collectIssues(text: string) {
  try {
    resolveConfig(text, "test");
  } catch (error) {
    assert.instance(error, ValidationError);
    return (error as ValidationError).issues;
  }
  return [];
}

/** Returns the issues of the example with values set at dotted paths; undefined removes a value. */
function collectIssuesWith(values: Record<string, unknown>) {
  const config = JSON.parse(readFileSync("examples/khomas.json", "utf8"));
  for (const [path, value] of Object.entries(values)) {
    const keys = path.split(".");
    const last = keys.pop() ?? "";
    keys.reduce((item, key) => item[key], config)[last] = value;
  }
  return collectIssues(JSON.stringify(config));
}

test("accepts the example configurations", () => {
  for (const file of ["examples/khomas.json", "examples/punjab-east.json"]) {
    assert.is(resolveConfig(readFileSync(file, "utf8"), file).pools.length, 5);
  }
});

const TIME_ZONE = "Asia/Karachi";
const NEW_SERVICE = { "services.5": { name: "idle" } };

/** Path of the expected issue, description of the fault, and the values that cause it. */
const CASES: [string, string, Record<string, unknown>][] = [
  ["$.typo", "an unknown field", { typo: 1 }],
  ["$.weights.cost", "an unknown inner field", { "weights.cost": 1 }],
  ["$.pools[0].vms", "a missing field", { "pools.0.vms": undefined }],
  ["$.pools[0].vms", "a wrong type", { "pools.0.vms": "6" }],
  ["$.pools[0].maintenance.order", "an unknown value", {
    "pools.0.maintenance.order": "any",
  }],
  ["$.teams[5].name", "a repeated team", {
    "teams.5": { name: "survey-team" },
  }],
  ["$.services[5].name", "a repeated service", {
    "services.5": { name: "survey" },
  }],
  ["$.pools[1].name", "a repeated pool", { "pools.1.name": "quoting" }],
  ["$.pools[0].team", "an unknown team", { "pools.0.team": "nobody" }],
  ["$.pools[0].services[1]", "an unknown service", {
    "pools.0.services.1": "no",
  }],
  ["$.pools[0].services[1]", "a service listed twice", {
    "pools.0.services.1": "quoting",
  }],
  ["$.services[5].name", "a service with no pool", NEW_SERVICE],
  ["$.pools[0].services[1]", "a service that no pool can serve", {
    ...NEW_SERVICE,
    "pools.0.services.1": "idle",
    "pools.0.lending.overflow": false,
  }],
  ["$.pools[1].services[0]", "a second own pool", {
    "pools.1.services": ["quoting"],
  }],
  ["$.pools[0].region", "an undeclared region", {
    regions: ["khomas"],
    "pools.0.region": "khomsa",
  }],
  ["$.regions[1]", "a region without a pool", { regions: ["khomas", "x"] }],
  ["$.pools[0].availability.minimumServingVms", "a minimum above the VMs", {
    "pools.0.availability.minimumServingVms": 7,
  }],
  ["$.pools[0].availability.minimumServingVms", "no VM left to maintain", {
    "pools.0.availability.minimumServingVms": 6,
    "pools.0.lending.maximumLentVms": 0,
  }],
  ["$.pools[0].lending.maximumLentVms", "lending that breaks the budget", {
    "pools.0.lending.maximumLentVms": 4,
  }],
  ["$.pools[0].maintenance.periodDays", "a wave longer than its period", {
    "pools.0.maintenance": { periodDays: 5, vmMaintenanceMs: 86_400_000 },
  }],
  ["$.pools[0].lending.windows[0].timeZone", "an unknown time zone", {
    "pools.0.lending.windows.0.timeZone": "Mars/Base",
  }],
  ["$.pools[0].lending.windows[0].to", "a window of no length", {
    "pools.0.lending.windows.0": {
      timeZone: TIME_ZONE,
      from: "08:00",
      to: "08:00",
    },
  }],
  ["$.pools[0].lending.windows[0].to", "a time that doesn't exist", {
    "pools.0.lending.windows.0": {
      timeZone: TIME_ZONE,
      from: "08:00",
      to: "24:01",
    },
  }],
];

for (const [path, fault, values] of CASES) {
  test(`guards against ${fault}, and against follow-up problems`, () => {
    const issues = collectIssuesWith(values);
    assert.equal(issues.map((issue) => issue.path), [path]);
    assert.ok(issues[0]?.found && issues[0].expected);
  });
}

test("guards against problems hidden by an earlier one", () => {
  const issues = collectIssuesWith({
    typo: true,
    "pools.0.vms": -1,
    "pools.1.team": "nobody",
    "pools.2.lending.maximumLentVms": 8,
    "services.5": { name: "survey", slotsPerInstance: 0 },
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
  const issues = collectIssuesWith({ "teams.0.name": "UPPER" });
  assert.equal(issues.map((issue) => issue.path), ["$.teams[0].name"]);
});

test("guards against a file whose resolved form the store can't hold", () => {
  const config = JSON.parse(readFileSync("examples/khomas.json", "utf8"));
  assert.is(
    collectIssues(" ".repeat(1_000_001))[0]?.expected,
    "at most 1000000 bytes",
  );
  for (let index = 0; index < 8_000; index++) {
    config.services.push({ name: `s${index}` });
    config.pools[0].services.push(`s${index}`);
  }
  const text = JSON.stringify(config);
  assert.ok(Buffer.byteLength(text) < 1_000_000);
  assert.match(
    collectIssues(text)[0]?.found ?? "",
    "with all defaults filled in",
  );
});

test("guards against a repeated key of which one value is lost", () => {
  const text = readFileSync("examples/khomas.json", "utf8")
    .replace(
      '"vms": 8,',
      '"vms": 8, "a\\"{": [{}, {"b": 1, "b": 2}], "v\\u006ds": 9,',
    );
  const issues = collectIssues(text).filter((issue) =>
    issue.expected === "a key that is used once"
  );
  assert.equal(issues.map((issue) => issue.path), [
    '$.pools[2]["a\\"{"][1].b',
    "$.pools[2].vms",
  ]);
});

test("guards against an untyped error for deeply nested JSON", () => {
  const text = "[".repeat(400_000) + "]".repeat(400_000);
  assert.is(collectIssues(text)[0]?.found, "a deeply nested value");
});

test("guards against malformed JSON without a position", () => {
  assert.match(
    collectIssues('{"version": 1,}')[0]?.expected ?? "",
    /JSON \(.*position/,
  );
});

test.run();
