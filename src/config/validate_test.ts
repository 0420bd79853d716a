import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ValidationError } from "../errors.ts";
import { resolveConfig } from "./validate.ts";

test("accepts the example configurations", () => {
  for (const file of ["examples/khomas.json", "examples/punjab-east.json"]) {
    assert.is(resolveConfig(readFileSync(file, "utf8"), file).pools.length, 5);
  }
});

test("reports unknown fields and wrong values with their paths", () => {
  const config = JSON.parse(readFileSync("examples/khomas.json", "utf8"));
  config.pools[1].vms = -1;
  config.typo = true;
  try {
    resolveConfig(JSON.stringify(config), "test");
    assert.unreachable();
  } catch (error) {
    assert.instance(error, ValidationError);
    const paths = (error as ValidationError).issues.map((issue) => issue.path);
    assert.ok(paths.includes("$.pools[1].vms"));
    assert.ok(paths.includes("$"));
  }
});

test.run();
