import { Command, CommanderError } from "commander";
import { addApplyCommand } from "./commands/apply.ts";
import { addCheckCommand } from "./commands/check.ts";
import { setExitCode, UsageError } from "./commands/context.ts";
import { addDiffCommand } from "./commands/diff.ts";
import { addDumpCommand } from "./commands/dump.ts";
import { addEntryCommand } from "./commands/entry.ts";
import { EXIT_CODES } from "./commands/exit_codes.ts";
import { addExplainCommand } from "./commands/explain.ts";
import { addStatusCommand } from "./commands/status.ts";
import { VERSION } from "./constants.ts";
import {
  messageOf,
  PlatformError,
  StoreError,
  TaggedError,
  ValidationError,
} from "./errors.ts";

function createProgram(): Command {
  const program = new Command("cowslipferry")
    .description("Manages the capacity and maintenance of a shared fleet")
    .version(VERSION)
    .exitOverride();
  addEntryCommand(program);
  addApplyCommand(program);
  addCheckCommand(program);
  addDiffCommand(program);
  addStatusCommand(program);
  addDumpCommand(program);
  addExplainCommand(program);
  return program;
}

function exitCodeOf(error: unknown): number {
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? EXIT_CODES.success : EXIT_CODES.usage;
  }
  if (error instanceof UsageError) return EXIT_CODES.usage;
  const isUnreachable = error instanceof PlatformError ||
    (error instanceof StoreError && error.failure !== "rejected");
  return isUnreachable ? EXIT_CODES.platformUnreachable : EXIT_CODES.refused;
}

function printError(error: unknown, asJson: boolean): void {
  // Commander has already printed this error.
  if (error instanceof CommanderError) return;
  if (asJson) {
    const data = error instanceof TaggedError
      ? error.toJSON()
      : { kind: "internal", message: messageOf(error) };
    console.log(JSON.stringify({ kind: "error", error: data }, undefined, 2));
    return;
  }
  console.error(`error: ${messageOf(error)}`);
  if (!(error instanceof ValidationError)) return;
  for (const issue of error.issues) {
    console.error(
      `  ${issue.path}: found ${issue.found}; allowed: ${issue.expected}`,
    );
  }
}

/** Parses and runs a command line, and sets the exit code of the process. */
export async function runCli(argv: readonly string[]): Promise<void> {
  try {
    await createProgram().parseAsync([...argv]);
  } catch (error) {
    printError(error, argv.includes("--json"));
    setExitCode(exitCodeOf(error));
  }
}
