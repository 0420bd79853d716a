import assert from "node:assert/strict";
import { suite } from "uvu";
import { createDemandForecast, extrapolateTrend } from "./demand_forecast.ts";

const test = suite("demand forecast");

// Guards against VMs that come only when a turn is at its peak.
test("the start of a turn: a rising rate is extended over the lead time", () => {
  assert.ok(extrapolateTrend(2, 10) > 25);
  // From nothing to five jobs: at least twice as many are expected when a VM would be there.
  assert.ok(extrapolateTrend(0, 5) > 10);
});

// Guards against VMs that are turned on for chance.
test("an even rate is not extended by chance differences", () => {
  assert.equal(extrapolateTrend(10, 11), 11);
  assert.equal(extrapolateTrend(11, 10), 10);
});

// Guards against a turn whose pool takes the VMs of all others just before its peak, when its rise is nearly over.
test("the top of a turn: a rise that slows down is extended in part, a steep one in full", () => {
  // Arrivals of a turn with a peak of 120 a second, in the middle of its rise and shortly before its peak.
  assert.ok(extrapolateTrend(24, 58) > 110);
  assert.ok(extrapolateTrend(58, 94) < 150);
  // Counts as small as these don't tell a peak from chance.
  assert.ok(extrapolateTrend(3, 6) > 8);
});

// Guards against VMs that stay on after a turn.
test("the end of a turn: a falling rate is taken down, never below zero", () => {
  assert.ok(extrapolateTrend(20, 10) < 5);
  assert.equal(extrapolateTrend(40, 2), 0);
});

// Guards against a forecast in other units than the pools' room.
test("the rate is weighed with the mean work of a job", () => {
  let nowMs = 10_000;
  const forecast = createDemandForecast(() => nowMs);
  for (let index = 0; index < 40; index++) {
    forecast.record("quoting", 5_000);
    nowMs += 50;
  }
  // 20 jobs a second of 5 core-seconds each.
  const cores = forecast.forecastCores("quoting");
  assert.ok(cores > 80 && cores < 130, `${cores}`);
  nowMs += 5_000;
  assert.equal(forecast.forecastCores("quoting"), 0);
});

// Guards against a new owner that takes a turn for quiet until it has seen arrivals of its own.
test("jobs that an earlier owner saw arrive count with their age", () => {
  const forecast = createDemandForecast(() => 10_000);
  for (let ageMs = 0; ageMs < 3_000; ageMs += 50) {
    forecast.record("quoting", 5_000, ageMs);
  }
  const cores = forecast.forecastCores("quoting");
  assert.ok(cores > 80 && cores < 130, `${cores}`);
});

// Guards against pools that grow for jobs whose tasks never end.
test("jobs of long-running tasks don't count", () => {
  const forecast = createDemandForecast(() => 1_000);
  forecast.record("quoting", 0);
  assert.equal(forecast.forecastCores("quoting"), 0);
});

test.run();
