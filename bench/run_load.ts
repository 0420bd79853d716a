import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { killChild, startTypeScript } from "../testing/child_process.ts";
import type { LoadResult, LoadSpec } from "./load_spec.ts";

/** Time after the planned end of a load at which its process is killed, in ms. */
const TIMEOUT_MARGIN_MS = 60_000;

async function runLoadProcess(
  folder: string,
  spec: LoadSpec,
): Promise<LoadResult> {
  const file = join(folder, `${spec.service}-${spec.seed}.json`);
  await writeFile(file, JSON.stringify(spec));
  const child = startTypeScript("bench/load_process.ts", [file]);
  const segments = spec.load.kind === "open"
    ? spec.load.ratesPerSecond.length
    : 1;
  const timer = setTimeout(
    () => child.child.kill("SIGKILL"),
    spec.segmentMs * segments + TIMEOUT_MARGIN_MS,
  );
  try {
    const code = await child.exited;
    if (code !== 0) {
      throw new Error(
        `load process exited with code ${code}: ${child.output()}`,
      );
    }
    return JSON.parse(child.lines()[0] ?? "");
  } finally {
    clearTimeout(timer);
    await killChild(child);
  }
}

/** Runs loads concurrently, each in its own process. Specs must differ in service or seed, which name their files. */
export async function runLoads(
  specs: readonly LoadSpec[],
): Promise<LoadResult[]> {
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-load-"));
  try {
    return await Promise.all(specs.map((spec) => runLoadProcess(folder, spec)));
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}
