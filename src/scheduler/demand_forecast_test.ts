import assert from "node:assert/strict";
import { suite } from "uvu";
import { createDemandForecast, extrapolateTrend } from "./demand_forecast.ts";

const test = suite("demand forecast");

// Guards against VMs that arrive only when a surge is at its peak.
test("start of a surge: a rising rate is extrapolated over the lead time", () => {
  assert.ok(extrapolateTrend(2, 10) > 25);
  // From zero to five jobs: at least twice as many are expected by the time a VM is available.
  assert.ok(extrapolateTrend(0, 5) > 10);
});

// Guards against turning VMs on because of random variation.
test("noise in a steady rate is not extrapolated", () => {
  assert.equal(extrapolateTrend(10, 11), 11);
  assert.equal(extrapolateTrend(11, 10), 10);
});

// Guards against a surging pool taking the VMs of all others shortly before its peak, when its rise is nearly over.
test("peak of a surge: a slowing rise is extrapolated in part, a steep one in full", () => {
  // Arrivals of a surge that peaks at 120 per second: mid-rise, then shortly before the peak.
  assert.ok(extrapolateTrend(24, 58) > 110);
  assert.ok(extrapolateTrend(58, 94) < 150);
  // Such small counts can't distinguish a peak from noise.
  assert.ok(extrapolateTrend(3, 6) > 8);
});

// Guards against VMs that stay on after a surge.
test("end of a surge: a falling rate is extrapolated downwards, never below zero", () => {
  assert.ok(extrapolateTrend(20, 10) < 5);
  assert.equal(extrapolateTrend(40, 2), 0);
});

// Guards against a forecast in a unit that differs from that of pool capacity.
test("the rate is multiplied by the mean work per job", () => {
  let nowMs = 10_000;
  const forecast = createDemandForecast(() => nowMs);
  for (let index = 0; index < 40; index++) {
    forecast.record("quoting", 5_000);
    nowMs += 50;
  }
  // 20 jobs per second of 5 core-seconds each.
  const cores = forecast.forecastCores("quoting");
  assert.ok(cores > 80 && cores < 130, `${cores}`);
  nowMs += 5_000;
  assert.equal(forecast.forecastCores("quoting"), 0);
});

// Guards against a new owner that assumes no demand in the middle of a surge because it hasn't observed arrivals itself.
test("jobs that arrived under an earlier owner count at their age", () => {
  const forecast = createDemandForecast(() => 10_000);
  for (let ageMs = 0; ageMs < 3_000; ageMs += 50) {
    forecast.record("quoting", 5_000, ageMs);
  }
  const cores = forecast.forecastCores("quoting");
  assert.ok(cores > 80 && cores < 130, `${cores}`);
});

// Guards against pools that keep growing for jobs whose tasks never end.
test("jobs without finite work don't count", () => {
  const forecast = createDemandForecast(() => 1_000);
  forecast.record("quoting", 0);
  assert.equal(forecast.forecastCores("quoting"), 0);
});

test.run();
