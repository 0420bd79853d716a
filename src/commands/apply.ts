import type { Command } from "commander";
import { systemClock } from "../clock.ts";
import { applyConfig, type ApplyResult } from "../config/apply.ts";
import { formatChanges } from "../config/diff.ts";
import { type RolloutResult, waitForRollout } from "../config/rollout.ts";
import { resolveConfig } from "../config/validate.ts";
import { assertNever } from "../errors.ts";
import { readTextFile } from "../settings/load.ts";
import {
  addPlatformOptions,
  type OperatorPlatform,
  parseInteger,
  type PlatformOptions,
  printResult,
  resolvePlatform,
  setExitCode,
} from "./context.ts";
import { readKnownRevision } from "./known_revision.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/**
 * Upper limit of `--above-revision`. A revision that JSON can't represent
 * exactly would make the configuration unreadable; at 600 changes a day, this
 * limit is not reached in 4,000 years.
 */
const MAXIMUM_ABOVE_REVISION = 1_000_000_000;

interface Options extends PlatformOptions {
  readonly expectRevision?: number;
  readonly aboveRevision?: number;
  readonly wait?: boolean;
  readonly timeoutMs: number;
}

interface TimedRollout {
  readonly result: RolloutResult;
  readonly elapsedMs: number;
}

function exitCodeOf(result: ApplyResult): number {
  switch (result.kind) {
    case "accepted":
    case "unchanged":
    case "superseded":
      return EXIT_CODES.success;
    case "conflict":
      return EXIT_CODES.refused;
    case "undetermined":
      return EXIT_CODES.platformUnreachable;
    default:
      return assertNever(result);
  }
}

function formatConflict(
  result: ApplyResult & { kind: "conflict" },
): string[] {
  const revision = result.currentRevision;
  return [
    result.reason === "unexpected_revision"
      ? `conflict: revision ${revision} is in force, not the expected revision ${result.baseRevision}; nothing was written`
      : `conflict: another operator applied a file after revision ${result.baseRevision} was read; nothing was written`,
    `changes that this file would make to revision ${revision}:`,
    ...formatChanges(result.changes),
    `review them, then apply again with --expect-revision ${revision}`,
  ];
}

function formatResult(result: ApplyResult): string[] {
  switch (result.kind) {
    case "accepted":
      return [
        `accepted as revision ${result.applied.revision} (apply id ${result.applied.applyId})`,
      ];
    case "unchanged":
      return [`unchanged: revision ${result.applied.revision} is in force`];
    case "superseded":
      return [
        `accepted as revision ${result.applied.revision} (apply id ${result.applied.applyId}), superseded by revision ${result.currentRevision}`,
      ];
    case "conflict":
      return formatConflict(result);
    case "undetermined":
      return [
        `undetermined: the file may or may not be applied as revision ${result.revision}: ${result.reason}`,
        `compare apply id ${result.applyId} with the output of status once the store answers, or apply the file again`,
      ];
    default:
      return assertNever(result);
  }
}

function describeResult(result: ApplyResult): object {
  switch (result.kind) {
    case "accepted":
    case "unchanged": {
      const { revision, applyId, digest } = result.applied;
      return { kind: result.kind, revision, applyId, digest };
    }
    case "superseded": {
      const { kind, applied, currentRevision } = result;
      const { revision, applyId, digest } = applied;
      return { kind, revision, applyId, digest, currentRevision };
    }
    case "conflict":
    case "undetermined":
      return result;
    default:
      return assertNever(result);
  }
}

function formatRollout({ result, elapsedMs }: TimedRollout): string[] {
  if (result.kind === "in_force") {
    return [
      `in force at all ${result.entries.length} live entries after ${elapsedMs} ms`,
    ];
  }
  return [
    `not confirmed in force everywhere after ${elapsedMs} ms`,
    ...(result.failure === undefined ? [] : [`  ${result.failure}`]),
    ...result.pending.map((entry) =>
      `  ${entry.entryId}: ${entry.failure ?? `revision ${entry.revision}`}`
    ),
  ];
}

async function waitForRevision(
  result: ApplyResult,
  context: {
    platform: OperatorPlatform;
    timeoutMs: number;
    startedAtMs: number;
  },
): Promise<TimedRollout | undefined> {
  if (result.kind === "conflict" || result.kind === "undetermined") {
    return undefined;
  }
  const rolloutResult = await waitForRollout({
    vmList: context.platform.vmList(),
    readDump: context.platform.readDump,
    revision: result.applied.revision,
    timeoutMs: context.timeoutMs,
    clock: systemClock,
  });
  const elapsedMs = Math.round(systemClock.monotonicMs() - context.startedAtMs);
  return { result: rolloutResult, elapsedMs };
}

async function runApply(file: string, options: Options): Promise<void> {
  const config = resolveConfig(await readTextFile(file), file);
  const platform = await resolvePlatform(options);
  const store = platform.store();
  // Fails before anything is written if the URL of the VM list is missing.
  if (options.wait) platform.vmList();
  // Read before the store: a lower revision in the store then means that the store was restored to an older state.
  const { highest, unchecked } = await readKnownRevision(platform);
  const startedAtMs = systemClock.monotonicMs();
  const { expectRevision, aboveRevision } = options;
  const result = await applyConfig(store, config, {
    ...(expectRevision !== undefined && { expectedRevision: expectRevision }),
    ...(aboveRevision !== undefined && { aboveRevision }),
    ...(highest && { highestKnown: highest }),
  });
  const rollOut = options.wait
    ? await waitForRevision(result, {
      platform,
      timeoutMs: options.timeoutMs,
      startedAtMs,
    })
    : undefined;
  printResult(
    options,
    {
      ...describeResult(result),
      ...(unchecked.length > 0 && { unchecked }),
      ...(rollOut && { rollOut }),
    },
    [
      ...unchecked.map(({ what, reason }) =>
        `revision of ${what} not compared with the store's: ${reason}`
      ),
      ...formatResult(result),
      ...(rollOut ? formatRollout(rollOut) : []),
    ],
  );
  setExitCode(exitCodeOf(result));
  if (rollOut?.result.kind === "timed_out") {
    setExitCode(EXIT_CODES.platformUnreachable);
  }
}

/** Adds the `apply` command. */
export function addApplyCommand(program: Command): void {
  addPlatformOptions(
    program.command("apply")
      .description("apply a configuration file as a whole")
      .argument("<file>", "configuration file"),
  )
    .option(
      "--expect-revision <number>",
      "refuse unless this revision is in force; 0 when there is none",
      parseInteger(0),
    )
    .option(
      "--above-revision <number>",
      "after the store was restored: write the revision that follows this one",
      parseInteger(0, MAXIMUM_ABOVE_REVISION),
    )
    .option("--wait", "wait until every live entry reports the revision")
    .option(
      "--timeout-ms <ms>",
      "timeout of --wait",
      parseInteger(1),
      30_000,
    )
    .action(runApply);
}
