import type { Command } from "commander";
import { applyConfig } from "../config/apply.ts";
import { resolveConfig } from "../config/validate.ts";
import { createHttpStore } from "../platform/http_store.ts";
import { readTextFile } from "../settings/load.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Adds the `apply` command. */
export function addApplyCommand(program: Command): void {
  program.command("apply")
    .description("apply a configuration file as a whole")
    .argument("<file>", "configuration file")
    .requiredOption("--store <url>", "URL of the platform's store")
    .action(async (file: string, options: { store: string }) => {
      const config = resolveConfig(await readTextFile(file), file);
      const result = await applyConfig(createHttpStore(options.store), config);
      if (result.kind === "accepted") {
        console.log(`accepted as revision ${result.applied.revision}`);
      } else {
        console.error(
          "conflict: another operator applied a file at the same time",
        );
        process.exitCode = EXIT_CODES.refused;
      }
    });
}
