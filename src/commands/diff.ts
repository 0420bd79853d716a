import type { Command } from "commander";
import { diffConfigs, formatChanges } from "../config/diff.ts";
import { parseAppliedConfig } from "../config/follower.ts";
import type { ResolvedConfig } from "../config/schema.ts";
import { resolveConfig } from "../config/validate.ts";
import { CONFIG_KEY } from "../constants.ts";
import { readTextFile } from "../settings/load.ts";
import {
  addPlatformOptions,
  type PlatformOptions,
  printResult,
  resolvePlatform,
} from "./context.ts";

interface DiffBase {
  readonly label: string;
  readonly revision?: number;
  readonly config: ResolvedConfig | undefined;
}

async function readConfigFile(file: string): Promise<ResolvedConfig> {
  return resolveConfig(await readTextFile(file), file);
}

async function readBase(
  against: string | undefined,
  options: PlatformOptions,
): Promise<DiffBase> {
  if (against !== undefined) {
    return { label: against, config: await readConfigFile(against) };
  }
  const platform = await resolvePlatform(options);
  const stored = await platform.store().get(CONFIG_KEY);
  const applied = stored && parseAppliedConfig(stored.value);
  const revision = applied?.revision ?? 0;
  return { label: `revision ${revision}`, revision, config: applied?.config };
}

async function runDiff(
  file: string,
  options: PlatformOptions & { against?: string },
): Promise<void> {
  const config = await readConfigFile(file);
  const base = await readBase(options.against, options);
  const changes = diffConfigs(base.config, config);
  const { revision } = base;
  printResult(
    options,
    { base: base.label, ...(revision !== undefined && { revision }), changes },
    changes.length === 0
      ? [`no changes from ${base.label}`]
      : [`changes from ${base.label} to ${file}:`, ...formatChanges(changes)],
  );
}

/** Adds the `diff` command. */
export function addDiffCommand(program: Command): void {
  addPlatformOptions(
    program.command("diff")
      .description(
        "show what a configuration file would change, by team, service and pool",
      )
      .argument("<file>", "configuration file"),
  )
    .option(
      "--against <file>",
      "compare with another file instead of the configuration in force",
    )
    .action(runDiff);
}
