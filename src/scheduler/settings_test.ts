import assert from "node:assert/strict";
import { suite } from "uvu";
import { ValidationError } from "../errors.ts";
import {
  listChangedSettings,
  resolveCandidateDelayMs,
  resolveLaneCount,
  resolveSchedulerSettings,
} from "./settings.ts";

const test = suite("scheduler settings");

const SETTINGS = {
  entryId: "entry-1",
  dataCentre: "dc-1",
  region: "r",
  listen: {
    callers: "10.0.0.1:1",
    readiness: "10.0.0.1:2",
    peers: "10.0.0.1:3",
  },
  platform: { storeAddress: "10.0.0.2:1", vmApiAddress: "10.0.0.2:2" },
};

const resolve = (settings: unknown) =>
  resolveSchedulerSettings(JSON.stringify(settings), "test");

// Guards against a process that starts with invalid settings or reports only the first issue.
test("every invalid field is listed", () => {
  try {
    resolve({
      ...SETTINGS,
      listen: { ...SETTINGS.listen, peers: "here" },
      bounds: { graceS: -1 },
    });
    assert.fail("accepted");
  } catch (error) {
    assert.ok(error instanceof ValidationError);
    assert.deepEqual(
      error.issues.map(({ path }) => path),
      ["$.listen.peers", "$.bounds.graceS"],
    );
  }
});

// Guards against rejecting settings to which the platform has added fields.
test("unknown fields are ignored and defaults are filled in", () => {
  const settings = resolve({ ...SETTINGS, later: true });
  assert.equal(settings.bounds.graceS, 6);
  assert.equal(settings.overload.rejectUnattainable, false);
  assert.deepEqual(
    listChangedSettings(settings, { ...settings, logLevel: "debug" }),
    ["logLevel"],
  );
});

// Guards against an owner on a VM with too little bandwidth or CPU for its work.
test("entries on weak VMs campaign after the others", () => {
  const delay = (cores: number, linkMbps: number) =>
    resolveCandidateDelayMs({ limits: { cores, linkMbps } });
  assert.equal(delay(0.675, 1_000), 0);
  assert.ok(delay(0.324, 1_000) > 100);
  assert.ok(delay(1.35, 7) > 100);
});

// Guards against small deployments whose commits change, and against an owner that uses up the store's write rate.
test("several commits are in flight only if the store allows more than 400 writes per second", () => {
  const count = (platform: object) =>
    resolveLaneCount(
      resolve({ ...SETTINGS, platform: { ...SETTINGS.platform, ...platform } }),
    );
  assert.equal(count({}), 1);
  assert.deepEqual(
    [400, 401, 1_200, 10_000].map((writesPerS) => count({ writesPerS })),
    [1, 2, 6, 8],
  );
});

test.run();
