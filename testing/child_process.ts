import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";

/** A child process of a test or tool. */
export interface RunningChild {
  readonly child: ChildProcess;
  /** Standard output and standard error so far, interleaved. */
  output(): string;
  /** The complete lines of standard output so far. */
  lines(): readonly string[];
  /** Resolves with the exit code, or with null after a signal or a failed start. */
  readonly exited: Promise<number | null>;
}

/** Starts a process. Its standard input is a pipe that closes when this process ends. */
export function startChild(
  command: string,
  args: readonly string[],
): RunningChild {
  const child = spawn(command, [...args], { stdio: ["pipe", "pipe", "pipe"] });
  let output = "";
  let standardOutput = "";
  child.stdout.on("data", (chunk) => {
    output += chunk;
    standardOutput += chunk;
  });
  child.stderr.on("data", (chunk) => output += chunk);
  child.stdin.on("error", () => {});
  const exited = new Promise<number | null>((resolve) => {
    child.once("close", resolve);
    child.once("error", (error) => {
      output += error.message;
      resolve(null);
    });
  });
  return {
    child,
    output: () => output,
    lines: () => standardOutput.split("\n").slice(0, -1),
    exited,
  };
}

/** Runs a TypeScript file of this repository in a child process. */
export function startTypeScript(
  file: string,
  args: readonly string[],
): RunningChild {
  return startChild(process.execPath, ["--import", "tsx", file, ...args]);
}

/** Kills a process, even if it is stopped by SIGSTOP. */
export async function killChild(running: RunningChild): Promise<void> {
  running.child.kill("SIGCONT");
  running.child.kill("SIGKILL");
  await running.exited;
}
