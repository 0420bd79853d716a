import { once } from "node:events";
import { request as startRequest } from "node:http";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { request } from "undici";
import {
  type Deployment,
  type EntryProcess,
  startDeployment,
} from "../testing/deployment.ts";
import { testedProgram } from "../testing/program.ts";
import { waitFor } from "../testing/wait.ts";
import type { EntryDump } from "./admin/dump.ts";
import { DEADLINE_HEADER } from "./constants.ts";

const test = suite("entry");
const CONFIG_FILE = "examples/khomas.json";
/** Longer than the pre-drain delay and the timeout for closing connections together. */
const SERVICE_TIME_MS = 5_000;

async function get(address: string, path: string) {
  const response = await request(`http://${address}${path}`, {
    headers: { [DEADLINE_HEADER]: "20000" },
  });
  return { status: response.statusCode, body: await response.body.text() };
}

async function readDump(entry: EntryProcess, query = ""): Promise<EntryDump> {
  const { body } = await get(entry.adminAddress, `/dump${query}`);
  return JSON.parse(body);
}

const isReady = async (entry: EntryProcess) =>
  (await get(entry.adminAddress, "/ready")).status === 200;

async function runWithEntries(
  count: number,
  body: (deployment: Deployment) => Promise<void>,
): Promise<void> {
  const deployment = await startDeployment({
    configFile: CONFIG_FILE,
    entryCount: count,
    program: testedProgram,
    dataCentres: ["khomas-1", "khomas-2", "khomas-3"],
    serviceTimeMs: SERVICE_TIME_MS,
  });
  try {
    const first = deployment.entries[0]!;
    const { status, body: text } = await get(first.adminAddress, "/ready");
    assert.is(status, 503);
    assert.ok(JSON.parse(text).reasons.includes("no_configuration"));
    await deployment.apply(CONFIG_FILE);
    for (const entry of deployment.entries) {
      await waitFor(`${entry.id} is ready`, () => isReady(entry));
    }
    await body(deployment);
  } finally {
    await deployment.close();
  }
}

test("a stopping entry becomes unready first, finishes its requests and exits with 0", () =>
  runWithEntries(2, async ({ entries }) => {
    const [stopping, other] = entries as [EntryProcess, EntryProcess];
    const slow = get(stopping.callerAddress, "/quoting/slow");
    await waitFor("the request is in flight", async () => {
      const { body } = await get(stopping.adminAddress, "/metrics");
      return body.includes("cowslipferry_requests_in_flight 1");
    });
    stopping.process.kill("SIGTERM");
    await waitFor(
      "the entry is unready",
      async () => !(await isReady(stopping)),
    );
    const late = get(stopping.callerAddress, "/quoting/late");
    await waitFor(
      "its peer reports it as stopping",
      async () =>
        (await readDump(other)).entries.some((item) =>
          item.entryId === stopping.id && item.stopping
        ),
    );
    assert.is((await slow).status, 200);
    assert.is((await late).status, 200);
    assert.is(await stopping.exited, 0);
    await waitFor(
      "its peer removes it",
      async () => (await readDump(other)).entries.length === 1,
    );
  }));

test("a second signal ends an entry with exit code 1 and logs the aborted requests", () =>
  runWithEntries(1, async ({ entries }) => {
    const [entry] = entries as [EntryProcess];
    const [host, port] = entry.callerAddress.split(":");
    const call = startRequest({ host, port, path: "/quoting/slow" });
    call.on("error", () => {}).end();
    await once(call, "socket");
    await waitFor("the request is in flight", async () => {
      const { body } = await get(entry.adminAddress, "/metrics");
      return body.includes("cowslipferry_requests_in_flight 1");
    });
    entry.process.kill("SIGTERM");
    await waitFor(
      "the entry is stopping",
      () => entry.output().includes("stopping"),
    );
    entry.process.kill("SIGINT");
    assert.is(await entry.exited, 1);
    assert.match(
      entry.output(),
      "second signal: aborting 1 request(s)",
    );
  }));

test("entries keep running without the store and the VM list, and a new entry starts from its peers", () =>
  runWithEntries(2, async (deployment) => {
    const [first, second] = deployment.entries as [EntryProcess, EntryProcess];
    deployment.store.faults.down = true;
    const restarted = await deployment.startEntry("entry-3");
    await waitFor(
      "the new entry has the configuration and the fleet record",
      async () => {
        const dump = await readDump(restarted);
        return dump.config?.revision === 1 && dump.fleet !== undefined &&
          dump.unreadyReasons.length === 0;
      },
    );
    const dump = await readDump(first, "?part=entries&part=config");
    assert.equal(Object.keys(dump).sort(), ["config", "entries"]);
    await waitFor(
      "the entry knows all three entries",
      async () => (await readDump(second)).entries.length === 3,
    );
    deployment.vmList.down = true;
    await waitFor(
      "the store and the VM list have not responded for longer than the isolation limit",
      async () => {
        const { sinceMs } = (await readDump(first)).contacts;
        return sinceMs.store > 5_500 && sinceMs.vm_list > 5_500;
      },
    );
    assert.is(await isReady(first), true);
  }));

test.run();
