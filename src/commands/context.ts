import process from "node:process";
import { type Command, InvalidArgumentError, Option } from "commander";
import type { ReadDump } from "../config/rollout.ts";
import type { JobSubject } from "../jobs/job_decision_log.ts";
import { messageOf, TaggedError } from "../errors.ts";
import { requestJson } from "../ports/http_json.ts";
import { createHttpStore } from "../ports/http_store.ts";
import { createHttpVmList } from "../ports/http_vm_list.ts";
import type { Store } from "../ports/store.ts";
import type { VmList } from "../ports/vm_list.ts";
import { loadOperatorSettings } from "../settings/operator.ts";
import { platformUrl } from "../settings/platform_url.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Invalid command-line usage. */
export class UsageError extends TaggedError<"usage"> {
  readonly kind = "usage";
}

/** Options that locate the platform. */
export interface PlatformOptions {
  readonly operatorSettings?: string;
  readonly store?: string;
  readonly vmList?: string;
  readonly json?: boolean;
}

/** Access to the platform for operator commands. `store` and `vmList` throw a `UsageError` if their URL is missing. */
export interface OperatorPlatform {
  store(): Store;
  vmList(): VmList;
  /** Reads the state dump of an entry. */
  readonly readDump: ReadDump;
  /** Reads an entry's decisions about a job or a worker. */
  readonly readJobExplanation: (
    adminAddress: string,
    subject: JobSubject,
    signal: AbortSignal,
  ) => Promise<unknown>;
}

/** Returns a parser for an integer option between `minimum` and `maximum`, inclusive. */
export function parseInteger(
  minimum: number,
  maximum = Number.MAX_SAFE_INTEGER,
): (text: string) => number {
  return (text) => {
    const value = Number(text);
    if (/^\d+$/.test(text) && value >= minimum && value <= maximum) {
      return value;
    }
    throw new InvalidArgumentError(
      maximum === Number.MAX_SAFE_INTEGER
        ? `It must be an integer of at least ${minimum}.`
        : `It must be an integer from ${minimum} to ${maximum}.`,
    );
  };
}

function parseUrl(text: string): string {
  const result = platformUrl.safeParse(text);
  if (result.success) return result.data;
  throw new InvalidArgumentError(
    `It must be ${result.error.issues[0]?.message}.`,
  );
}

/** Adds the `--json` option. */
export function addJsonOption(command: Command): Command {
  return command.option("--json", "print one JSON value on standard output");
}

/** Adds `--json` and the options that locate the platform. */
export function addPlatformOptions(command: Command): Command {
  return addJsonOption(
    command
      .addOption(
        new Option(
          "--operator-settings <file>",
          "operator settings file with the platform's URLs",
        ).env("COWSLIPFERRY_OPERATOR_SETTINGS"),
      )
      .option("--store <url>", "URL of the platform's store", parseUrl)
      .option("--vm-list <url>", "URL of the platform's VM list", parseUrl),
  );
}

function requireUrl(url: string | undefined, option: string): string {
  if (url !== undefined) return url;
  throw new UsageError(
    `Missing platform URL; use --operator-settings or ${option}`,
  );
}

async function readAdminServer(
  url: string,
  signal: AbortSignal,
): Promise<unknown> {
  const response = await requestJson(url, { timeoutMs: 5_000, signal });
  if (response.status !== 200) {
    throw new Error(`the admin server answered with status ${response.status}`);
  }
  return response.body;
}

/** Reads the state dump of an entry; rejects with the error of the HTTP client. */
export function readEntryDump(
  adminAddress: string,
  signal: AbortSignal,
): Promise<unknown> {
  return readAdminServer(`http://${adminAddress}/dump`, signal);
}

function readJobExplanation(
  adminAddress: string,
  subject: JobSubject,
  signal: AbortSignal,
): Promise<unknown> {
  const query = "jobId" in subject
    ? new URLSearchParams({ job: subject.jobId })
    : new URLSearchParams({ vm: subject.vmId });
  return readAdminServer(`http://${adminAddress}/jobs?${query}`, signal);
}

/** Resolves the platform's URLs; rejects with a `ValidationError` if the settings file is invalid. */
export async function resolvePlatform(
  options: PlatformOptions,
): Promise<OperatorPlatform> {
  const settings = options.operatorSettings === undefined
    ? undefined
    : await loadOperatorSettings(options.operatorSettings);
  const storeUrl = options.store ?? settings?.platform.storeUrl;
  const vmListUrl = options.vmList ?? settings?.platform.vmListUrl;
  return {
    store: () => createHttpStore(requireUrl(storeUrl, "--store")),
    vmList: () => createHttpVmList(requireUrl(vmListUrl, "--vm-list")),
    readDump: readEntryDump,
    readJobExplanation,
  };
}

/** Throws a `UsageError` unless both URLs are known, so that wrong usage is reported before anything is read. */
export function requireStoreAndVmList(platform: OperatorPlatform): void {
  platform.store();
  platform.vmList();
}

/** Prints the result of a command as JSON or as text lines. */
export function printResult(
  options: { readonly json?: boolean },
  data: unknown,
  lines: readonly string[],
): void {
  console.log(
    options.json ? JSON.stringify(data, undefined, 2) : lines.join("\n"),
  );
}

/** Sets the exit code of the process unless a higher one is already set. */
export function setExitCode(code: number): void {
  process.exitCode = Math.max(Number(process.exitCode ?? 0), code);
}

/** An item that a command could not read, with the reason. */
export interface ReadFailure {
  /** Name of the item, such as `configuration` or `entry entry-1`. */
  readonly what: string;
  readonly reason: string;
}

/** Runs a read. On failure, records the reason in `unreadable`, sets exit code 3 and returns undefined. */
export async function readOrRecordFailure<T>(
  what: string,
  unreadable: ReadFailure[],
  read: () => Promise<T>,
): Promise<T | undefined> {
  try {
    return await read();
  } catch (error) {
    if (error instanceof UsageError) throw error;
    unreadable.push({ what, reason: messageOf(error) });
    setExitCode(EXIT_CODES.platformUnreachable);
    return undefined;
  }
}
