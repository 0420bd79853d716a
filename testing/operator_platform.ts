import { spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { Vm } from "../src/ports/vm_list.ts";
import { createJsonServer, listenOnLoopback } from "./http_json_server.ts";
import { getCommand, testedProgram } from "./program.ts";
import { startStoreServer } from "./store_server.ts";
import { startVmListServer } from "./vm_list_server.ts";

/** Creates an entry's item of the VM list. */
export function createEntryVm(
  id: string,
  adminAddress: string,
  overrides: Partial<Vm> = {},
): Vm {
  return {
    id,
    role: "entry",
    state: "live",
    incarnation: "1",
    region: "khomas",
    dataCentre: "khomas-1",
    rack: "khomas-1-entries",
    address: "127.0.0.1:1",
    controlAddress: "127.0.0.1:1",
    adminAddress,
    cores: 4,
    memoryMb: 8_192,
    accelerators: 0,
    ...overrides,
  };
}

/** Runs the tested program with arguments separated by spaces; resolves with its exit code and output. */
export async function runProgram(line: string, env: object = {}) {
  const [command, prefix] = getCommand(testedProgram);
  const child = spawn(
    command,
    [...prefix, ...line.split(" ")],
    { stdio: ["ignore", "pipe", "pipe"], env: { ...process.env, ...env } },
  );
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (chunk) => stdout += chunk);
  child.stderr.on("data", (chunk) => stderr += chunk);
  const code = await new Promise((resolve) => child.on("close", resolve));
  return { code, stdout, stderr };
}

/** A job that the admin servers explain; each reports a decision for worker `q-2`. */
export const EXPLAINED_JOB = "4-mipxxxxx-0123456789abcdef";

/** The section `jobs` in the dump of each admin server. */
const JOBS_IN_DUMP = {
  shards: [{ shard: 4, active: true }],
  pools: [{ pool: "quoting", queued: 3, running: 2, urgentWaitMs: 1_234 }],
  quarantined: [{ vmId: "q-3", standing: "quarantined" }],
};

function explainJobs(query: URLSearchParams) {
  const facts = { reservedCores: 9 };
  const rejected = [{ option: "2 worker(s)", reason: "too little free" }];
  const wait = { jobId: EXPLAINED_JOB, reason: "no_capacity", sinceMs: 7 };
  const placed = { atMs: 6, kind: "placed", vmId: "q-2", summary: "placed" };
  const isJob = query.get("job") === EXPLAINED_JOB;
  return {
    ...(isJob && { wait: { ...wait, facts, rejected } }),
    decisions: isJob || query.get("vm") === "q-2"
      ? [{ ...placed, jobId: EXPLAINED_JOB, facts, rejected }]
      : [],
  };
}

/** Starts the admin server of an entry that reports a configuration revision. */
function startAdminServer(revision: () => number) {
  const dump = () => ({
    config: { revision: revision() },
    requests: [{ requestId: "r-1", outcome: "answer" }],
    jobs: JOBS_IN_DUMP,
  });
  return listenOnLoopback(createJsonServer(({ url }) => ({
    status: 200,
    body: url.pathname === "/jobs" ? explainJobs(url.searchParams) : dump(),
  })));
}

/**
 * Starts the platform services that operator commands use: a store and a VM list.
 * The VM list contains two entries that report the store's configuration revision,
 * and a leaving entry that is frozen at revision 0.
 */
export async function startOperatorPlatform() {
  const folder = await mkdtemp(join(tmpdir(), "cowslipferry-cli-"));
  const store = await startStoreServer();
  const vmList = await startVmListServer();
  const readStoredRevision = () =>
    JSON.parse(store.values.get("config")?.value ?? "{}").revision ?? 0;
  const follower = await startAdminServer(readStoredRevision);
  const frozen = await startAdminServer(() => 0);
  const settingsFile = join(folder, "operator.json");
  await writeFile(
    settingsFile,
    JSON.stringify({
      platform: {
        storeUrl: `http://${store.address}`,
        vmListUrl: `http://${vmList.address}/`,
      },
    }),
  );
  function addEntry(id: string, admin: string, state: Vm["state"] = "live") {
    vmList.vms.set(id, createEntryVm(id, admin, { state }));
  }
  addEntry("entry-1", follower.address);
  addEntry("entry-2", follower.address);
  addEntry("entry-gone", frozen.address, "leaving");
  return {
    folder,
    store,
    frozen,
    addEntry,
    /**
     * Runs the tested program with arguments separated by spaces.
     * Its environment names the settings file with the platform's addresses.
     */
    run: (line: string) =>
      runProgram(line, { COWSLIPFERRY_OPERATOR_SETTINGS: settingsFile }),
    async close() {
      await Promise.all(
        [store, vmList, follower, frozen].map((server) => server.close()),
      );
      await rm(folder, { recursive: true });
    },
  };
}

/** The platform services that `startOperatorPlatform` has started. */
export type OperatorPlatform = Awaited<
  ReturnType<typeof startOperatorPlatform>
>;
