import assert from "node:assert/strict";
import { suite } from "uvu";
import { QUEUE } from "../../../testing/scheduler_cluster.ts";
import type { SchedulerConfig } from "../ports.ts";
import { digestApiKey } from "./api_keys.ts";
import { createAuthenticator } from "./authentication.ts";

const test = suite("authentication");

function createConfig(
  version: number,
  keys: Readonly<Record<string, readonly string[]>>,
): SchedulerConfig {
  return {
    version,
    queues: [QUEUE],
    sparePools: [],
    services: [],
    maximumBodyBytes: 1_000,
    workspaces: Object.entries(keys).map(([name, apiKeys]) => ({
      name,
      keyDigests: apiKeys.map(digestApiKey),
      weight: 1,
      upperBound: { cpuMillis: 0, memoryMb: 0, gpuCount: 0 },
    })),
  };
}

const lenient = createAuthenticator({ strict: false, revocationMs: 5_000 });
const before = createConfig(1, { shop: ["old", "shared"], bank: ["b1"] });
const after = createConfig(2, { shop: ["shared", "new"], bank: [] });
const call = (key: string, configAgeMs = 0, queue = QUEUE) => ({
  key,
  configAgeMs,
  queue,
});

// Guards against a withdrawn key that stays in use, or a new one that is refused, after a change of the configuration.
test("the keys of the latest configuration are in force", () => {
  const kinds = (config: SchedulerConfig, keys: readonly string[]) =>
    keys.map((key) => lenient.authenticate(config, call(key)));
  const allowed = (workspace: string) => ({ kind: "allowed", workspace });
  const unknown = { kind: "unknown_key" };
  const keys = ["old", "shared", "new", "b1", ""];
  assert.deepEqual(kinds(before, keys), [
    allowed("shop"),
    allowed("shop"),
    unknown,
    allowed("bank"),
    unknown,
  ]);
  assert.deepEqual(kinds(after, keys), [
    unknown,
    allowed("shop"),
    allowed("shop"),
    unknown,
    unknown,
  ]);
});

// Guards against callers of a public queue, or of a deployment without workspaces, who are asked for a key.
test("public queues and deployments without workspaces need no key", () => {
  const nobody = { kind: "allowed", workspace: "" };
  assert.deepEqual(
    lenient.authenticate(before, call("", 0, { ...QUEUE, isPublic: true })),
    nobody,
  );
  assert.deepEqual(
    lenient.authenticate({ ...before, workspaces: undefined }, call("any")),
    nobody,
  );
});

// Guards against a final refusal by an entry that is cut off from the store and may lack the latest keys.
test("an unknown key is undecided while the configuration may be outdated", () => {
  assert.equal(
    lenient.authenticate(before, call("new", 9_000)).kind,
    "undecided",
  );
  assert.equal(
    lenient.authenticate(before, call("", 9_000)).kind,
    "unknown_key",
  );
  assert.equal(
    lenient.authenticate(before, call("old", 9_000)).kind,
    "allowed",
  );
});

// Guards against a withdrawn key that an entry without the store accepts where withdrawals must be in force.
test("with strict revocation, no key is accepted once the configuration is too old", () => {
  const strict = createAuthenticator({ strict: true, revocationMs: 5_000 });
  assert.equal(strict.authenticate(before, call("old", 4_900)).kind, "allowed");
  assert.equal(
    strict.authenticate(before, call("old", 5_100)).kind,
    "undecided",
  );
});

test.run();
