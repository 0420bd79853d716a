import type { Command } from "commander";
import { main } from "effection";
import { runEntry } from "../entry.ts";
import { loadSettings } from "../settings/load.ts";

/** Adds the `entry` command. */
export function addEntryCommand(program: Command): void {
  program.command("entry")
    .description("run an entry process")
    .requiredOption("--settings <file>", "settings file of this process")
    .action(async (options: { settings: string }) => {
      const settings = await loadSettings(options.settings);
      await main(() => runEntry(settings));
    });
}
