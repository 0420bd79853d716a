import type { Command } from "commander";
import { TaggedError } from "../errors.ts";
import {
  addPlatformOptions,
  type PlatformOptions,
  type ReadFailure,
  resolvePlatform,
} from "./context.ts";
import { readDumps } from "./entry_dumps.ts";

/** The requested entry is not in the VM list. */
export class UnknownEntryError extends TaggedError<"unknown_entry"> {
  readonly kind = "unknown_entry";
}

async function runDump(
  entryId: string | undefined,
  options: PlatformOptions,
): Promise<void> {
  const platform = await resolvePlatform(options);
  const unreadable: ReadFailure[] = [];
  const entries = await readDumps(platform, { entryId, unreadable });
  if (
    entryId !== undefined && entries.length === 0 && unreadable.length === 0
  ) {
    throw new UnknownEntryError(`The VM list has no entry ${entryId}`);
  }
  console.log(JSON.stringify({ entries, unreadable }, undefined, 2));
}

/** Adds the `dump` command. */
export function addDumpCommand(program: Command): void {
  addPlatformOptions(
    program.command("dump")
      .description("print the state of one entry, or of every live entry")
      .argument("[entry]", "id of an entry"),
  ).action(runDump);
}
