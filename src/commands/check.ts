import type { Command } from "commander";
import { resolveConfig } from "../config/validate.ts";
import { readTextFile } from "../settings/load.ts";
import { addJsonOption, printResult } from "./context.ts";

async function runCheck(
  file: string,
  options: { json?: boolean },
): Promise<void> {
  const config = resolveConfig(await readTextFile(file), file);
  const teams = config.teams.length;
  const services = config.services.length;
  const pools = config.pools.length;
  const vms = config.pools.reduce((sum, pool) => sum + pool.vms, 0);
  printResult(options, { kind: "valid", teams, services, pools, vms }, [
    `valid: ${teams} teams, ${services} services, ${pools} pools, ${vms} VMs`,
  ]);
}

/** Adds the `check` command. */
export function addCheckCommand(program: Command): void {
  addJsonOption(
    program.command("check")
      .description(
        "validate a configuration file without contacting the platform",
      )
      .argument("<file>", "configuration file"),
  ).action(runCheck);
}
