import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CONFIG_KEY } from "../../src/constants.ts";
import { startChild } from "../child_process.ts";
import { getCommand, testedProgram } from "../program.ts";
import { startStoreServer, type StoreServer } from "../store_server.ts";
import { CONFIG_FILE } from "./scenario.ts";

/** Delay of each store call, so that reads and writes of concurrent applies overlap. */
const STORE_DELAY_MS = 500;

interface ApplyOutput {
  readonly code: number | null;
  readonly kind: string;
  readonly revision: number | undefined;
}

async function applyAs(
  operator: number,
  context: { folder: string; store: StoreServer; expectRevision?: number },
): Promise<ApplyOutput> {
  const config = JSON.parse(await readFile(CONFIG_FILE, "utf8"));
  config.services[0].defaultDeadlineMs = 3_000 + operator;
  const file = join(context.folder, `operator-${operator}.json`);
  await writeFile(file, JSON.stringify(config));
  const [command, prefix] = getCommand(testedProgram);
  const running = startChild(command, [
    ...[...prefix, "apply", file, "--json"],
    ...["--store", `http://${context.store.address}`],
    ...(context.expectRevision === undefined
      ? []
      : ["--expect-revision", String(context.expectRevision)]),
  ]);
  const code = await running.exited;
  const output = JSON.parse(running.lines().join("\n"));
  const result = output.result ?? output;
  return { code, kind: result.kind, revision: result.revision };
}

function revisionInStore(store: StoreServer): number {
  const value = store.values.get(CONFIG_KEY)?.value;
  return value === undefined ? 0 : JSON.parse(value).revision;
}

async function withStore(
  body: (context: { folder: string; store: StoreServer }) => Promise<void>,
): Promise<void> {
  const store = await startStoreServer();
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-apply-"));
  try {
    await body({ folder, store });
  } finally {
    await store.close();
    await rm(folder, { recursive: true, force: true });
  }
}

for (const operators of [2, 8]) {
  test(`exactly one of ${operators} concurrent applies that expect the same revision is accepted`, () =>
    withStore(async ({ folder, store }) => {
      await applyAs(99, { folder, store });
      store.faults.delayMs = STORE_DELAY_MS;
      const outputs = await Promise.all(
        Array.from(
          { length: operators },
          (_, index) => applyAs(index, { folder, store, expectRevision: 1 }),
        ),
      );
      const accepted = outputs.filter(({ kind }) => kind === "accepted");
      const conflicts = outputs.filter(({ kind, code }) =>
        kind === "conflict" && code === 1
      );
      assert.is(accepted.length, 1, JSON.stringify(outputs));
      assert.is(conflicts.length, operators - 1, JSON.stringify(outputs));
      assert.is(revisionInStore(store), 2);
    }));
}

test("concurrent applies without an expected revision get distinct revisions", () =>
  withStore(async ({ folder, store }) => {
    store.faults.delayMs = STORE_DELAY_MS;
    const outputs = await Promise.all(
      Array.from(
        { length: 8 },
        (_, index) => applyAs(index, { folder, store }),
      ),
    );
    const revisions = outputs.flatMap(({ kind, revision }) =>
      kind === "accepted" || kind === "superseded" ? [revision] : []
    );
    assert.is(new Set(revisions).size, revisions.length);
    assert.is(revisions.length, revisionInStore(store));
    const conflicts = outputs.filter(({ kind }) => kind === "conflict");
    assert.is(conflicts.length + revisions.length, 8, JSON.stringify(outputs));
  }));

test.run();
