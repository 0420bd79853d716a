import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ValidationError } from "../errors.ts";
import { readTextFile, resolveSettings } from "./load.ts";

const VALID = {
  entryId: "entry-1",
  region: "khomas",
  dataCentre: "khomas-1",
  platform: {
    storeUrl: "http://127.0.0.1:4000/",
    vmListUrl: "http://127.0.0.1:4001",
  },
};

function listIssuePaths(settings: object): string[] {
  try {
    resolveSettings(JSON.stringify({ ...VALID, ...settings }), "test");
  } catch (error) {
    assert.instance(error, ValidationError);
    return (error as ValidationError).issues.map((issue) => issue.path).sort();
  }
  return [];
}

test("guards against a store URL to which paths can't be appended", () => {
  const settings = resolveSettings(JSON.stringify(VALID), "test");
  assert.is(settings.platform.storeUrl, "http://127.0.0.1:4000");
  for (
    const storeUrl of [
      "http://localhost:4000",
      "https://127.0.0.1",
      "http://127.0.0.1/?a=1",
      "http://user@127.0.0.1",
      "127.0.0.1:4000",
    ]
  ) {
    const platform = { ...VALID.platform, storeUrl };
    assert.equal(
      listIssuePaths({ platform }),
      ["$.platform.storeUrl"],
      storeUrl,
    );
  }
});

test("guards against validation that stops at the first problem", () => {
  const paths = listIssuePaths({
    entryId: "a b",
    region: "Khomas",
    roles: ["requests", "requests"],
    listen: {
      callers: { port: 80 },
      peers: { port: 7e9 },
      admin: { port: 80 },
    },
    limits: { maximumBodyBytes: 0 },
    controller: { unreachableAfterMs: 9_999, wavePauseMs: 4_999 },
    graceSeconds: 3,
  });
  assert.equal(paths, [
    "$.controller.unreachableAfterMs",
    "$.controller.wavePauseMs",
    "$.entryId",
    "$.graceSeconds",
    "$.limits.maximumBodyBytes",
    "$.listen.admin.port",
    "$.listen.peers.port",
    "$.region",
    "$.roles",
  ]);
});

test("guards against two listeners on the same address", () => {
  const paths = (host: string) =>
    listIssuePaths({
      listen: { callers: { host, port: 80 }, peers: { port: 80 } },
    });
  assert.equal(paths("0.0.0.0"), ["$.listen.peers.port"]);
  assert.equal(paths("127.0.0.2"), []);
});

test("guards against reading a file of unlimited size into memory", async () => {
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-settings-"));
  try {
    const file = join(folder, "large.json");
    await writeFile(file, " ".repeat(1_000_000));
    assert.is((await readTextFile(file)).length, 1_000_000);
    await writeFile(file, " ".repeat(1_000_001));
    const failure = await readTextFile(file).catch((error) => error);
    assert.instance(failure, ValidationError);
  } finally {
    await rm(folder, { recursive: true });
  }
});

test("guards against a maximum body size that the memory can't hold", () => {
  const limits = { maximumBodyBytes: 20_000_000 };
  assert.equal(listIssuePaths({ limits }), ["$.limits.maximumBodyBytes"]);
  assert.equal(listIssuePaths({ limits: { ...limits, memoryMb: 1_024 } }), []);
});

test.run();
