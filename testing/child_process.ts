import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";

/** A process that a test or tool started. */
export interface RunningChild {
  readonly child: ChildProcess;
  /** Both output streams so far. */
  output(): string;
  /** The whole lines of standard output so far. */
  lines(): readonly string[];
  /** Resolves with the exit code, or null after a signal. */
  readonly exited: Promise<number | null>;
}

/** Starts a process; its input is a pipe that closes when this process ends. */
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

/** Starts a TypeScript file of this repository. */
export function startTypeScript(
  file: string,
  args: readonly string[],
): RunningChild {
  return startChild(process.execPath, ["--import", "tsx", file, ...args]);
}

/** Ends a process at once, also one that is frozen. */
export async function killChild(running: RunningChild): Promise<void> {
  running.child.kill("SIGCONT");
  running.child.kill("SIGKILL");
  await running.exited;
}
