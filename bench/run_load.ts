import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { killChild, startTypeScript } from "../testing/child_process.ts";
import type { LoadResult, LoadSpec } from "./load_spec.ts";

/** Time beyond a load's own duration after which its process is ended, in ms. */
const MARGIN_MS = 60_000;

async function runOne(folder: string, spec: LoadSpec): Promise<LoadResult> {
  const file = join(folder, `${spec.service}-${spec.seed}.json`);
  await writeFile(file, JSON.stringify(spec));
  const running = startTypeScript("bench/load_process.ts", [file]);
  const segments = spec.load.kind === "open"
    ? spec.load.ratesPerSecond.length
    : 1;
  const timer = setTimeout(
    () => running.child.kill("SIGKILL"),
    spec.segmentMs * segments + MARGIN_MS,
  );
  try {
    const code = await running.exited;
    if (code !== 0) throw new Error(`Load process failed: ${running.output()}`);
    return JSON.parse(running.lines()[0] ?? "");
  } finally {
    clearTimeout(timer);
    await killChild(running);
  }
}

/** Runs loads at the same time, each in a process of its own. Specs must differ in service or seed. */
export async function runLoads(
  specs: readonly LoadSpec[],
): Promise<LoadResult[]> {
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-load-"));
  try {
    return await Promise.all(specs.map((spec) => runOne(folder, spec)));
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}
