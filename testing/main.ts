import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { Command } from "commander";
import { startStoreServer } from "./store_server.ts";
import { startVmListServer } from "./vm_list_server.ts";
import { startWorkerHost } from "./worker_host.ts";
import type { WorkerOptions } from "./worker.ts";

/** Prints the addresses of the started servers as one line of JSON, which tells the parent process that they listen. */
function printReadyLine(info: unknown): void {
  console.log(JSON.stringify(info));
}

/** Exits when the parent process ends and closes standard input, so that no fake server outlives a test. */
function exitWithParent(): void {
  process.stdin.on("end", () => process.exit(0));
  process.stdin.on("error", () => process.exit(0));
  process.stdin.resume();
}

const parsePort = (value: string) => Number.parseInt(value, 10);
const program = new Command("fakes")
  .description("Runs fake platform services as separate processes");

program.command("store")
  .option("--port <port>", "TCP port; 0 selects a free port", parsePort, 0)
  .action(async (options: { port: number }) => {
    printReadyLine({ address: (await startStoreServer(options.port)).address });
  });

program.command("vm-list")
  .option("--port <port>", "TCP port; 0 selects a free port", parsePort, 0)
  .option("--file <file>", "VMs as a JSON array")
  .action(async (options: { port: number; file?: string }) => {
    const server = await startVmListServer(options.port);
    const vms = options.file === undefined
      ? []
      : JSON.parse(await readFile(options.file, "utf8"));
    for (const vm of vms) server.vms.set(vm.id, vm);
    printReadyLine({ address: server.address });
  });

program.command("workers")
  .description("runs backend servers with their worker agents")
  .requiredOption("--file <file>", "worker options as a JSON array")
  .option("--pid-file <file>", "file for the process id")
  .action(async (options: { file: string; pidFile?: string }) => {
    const specs: WorkerOptions[] = JSON.parse(
      await readFile(options.file, "utf8"),
    );
    if (options.pidFile) await writeFile(options.pidFile, String(process.pid));
    printReadyLine(await startWorkerHost(specs));
  });

exitWithParent();
await program.parseAsync();
