import process from "node:process";
import { Command, CommanderError } from "commander";
import { addApplyCommand } from "./commands/apply.ts";
import { addEntryCommand } from "./commands/entry.ts";
import { EXIT_CODES } from "./commands/exit_codes.ts";
import { VERSION } from "./constants.ts";
import { messageOf, StoreError, ValidationError } from "./errors.ts";

function createProgram(): Command {
  const program = new Command("cowslipferry")
    .description("Manages the capacity and maintenance of a shared fleet")
    .version(VERSION)
    .exitOverride();
  addEntryCommand(program);
  addApplyCommand(program);
  return program;
}

function report(error: unknown): number {
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.usage;
  }
  console.error(`error: ${messageOf(error)}`);
  if (error instanceof ValidationError) {
    for (const issue of error.issues) {
      console.error(
        `  ${issue.path}: found ${issue.found}; expected ${issue.expected}`,
      );
    }
  }
  return error instanceof StoreError
    ? EXIT_CODES.platformUnreachable
    : EXIT_CODES.refused;
}

/** Runs the command line; sets the process's exit code. */
export async function runCli(argv: readonly string[]): Promise<void> {
  try {
    await createProgram().parseAsync([...argv]);
  } catch (error) {
    process.exitCode = report(error);
  }
}
