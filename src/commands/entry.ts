import process from "node:process";
import type { Command } from "commander";
import { run } from "effection";
import { type EntryAddresses, runEntry } from "../entry.ts";
import { loadSettings } from "../settings/load.ts";

/** Adds the `entry` command. */
export function addEntryCommand(program: Command): void {
  program.command("entry")
    .description("run an entry process")
    .requiredOption("--settings <file>", "settings file of this process")
    .action(async (options: { settings: string }) => {
      const settings = await loadSettings(options.settings);
      // Reports the ports that the operating system chose where the settings have port 0.
      const onListening = (addresses: EntryAddresses) =>
        process.stdout.write(`${JSON.stringify({ listening: addresses })}\n`);
      process.exit(await run(() => runEntry(settings, { onListening })));
    });
}
