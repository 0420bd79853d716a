import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import { chooseSeed } from "../random.ts";
import { buildProgram } from "./build_program.ts";
import { runSeed } from "./soak.ts";

const test = suite("soak");
const seed = chooseSeed();

// Guards against jobs that are lost, run twice or run after a refusal while processes, links and the store fail repeatedly.
for (const hasWorkspaces of [false, true]) {
  test(
    `real processes violate no invariant under random faults ${
      hasWorkspaces ? "and withdrawn keys" : ""
    }`.trim(),
    async () => {
      const folder = await mkdtemp(join(tmpdir(), "cowslipferry-soak-"));
      try {
        const report = await runSeed({
          seed,
          hasWorkspaces,
          entries: 3,
          vms: 10,
          faultsMs: 12_000,
          program: await buildProgram(folder),
          folder,
        });
        assert.deepEqual(report.violations, [], report.faults.join("\n"));
        assert.ok(report.accepted > 20, `${report.accepted} jobs accepted`);
        assert.ok(report.starts > report.accepted, `${report.starts} starts`);
      } finally {
        await rm(folder, { recursive: true });
      }
    },
  );
}

test.run();
