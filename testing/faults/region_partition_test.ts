import { readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Vm } from "../../src/ports/vm_list.ts";
import { callEntry, type CallResult } from "../caller.ts";
import type { Deployment, EntryProcess } from "../deployment.ts";
import { waitUntilServing } from "../wait_until_serving.ts";
import { startTcpRelay, type TcpRelay } from "../tcp_relay.ts";
import { startVmListServer } from "../vm_list_server.ts";
import { RevisionWatch } from "./revision_watch.ts";
import {
  applyChange,
  CONFIG_FILE,
  countBy,
  withDeployment,
} from "./scenario.ts";

const REGIONS = ["khomas", "punjab-east"] as const;
const SERVICE = "quoting";
const PARTITION_MS = 16_000;
const SAME_SIDE_LIMIT_MS = 5_000;
const OTHER_SIDE_LIMIT_MS = 11_000;
/** Default deadline of the service in the configuration file. */
const DEADLINE_MS = 2_000;
const GRACE_MS = 500;

/** Writes a configuration with one pool of the same service in each region. */
async function writeConfig(): Promise<string> {
  const config = JSON.parse(await readFile(CONFIG_FILE, "utf8"));
  const [pool] = config.pools;
  config.services = config.services.slice(0, 1);
  config.pools = REGIONS.map((region) => ({
    ...pool,
    name: `${SERVICE}-${region}`,
    region,
    services: [SERVICE],
  }));
  const file = join(tmpdir(), `regions-${process.pid}.json`);
  await writeFile(file, JSON.stringify(config));
  return file;
}

/** Sends requests to each entry, one after the other, until it is ended. */
function startCallers(entries: readonly EntryProcess[]) {
  const results: (CallResult & { entryId: string })[] = [];
  let ended = false;
  const loops = entries.map(async ({ id, callerAddress }) => {
    for (let index = 0; !ended; index++) {
      const url = `http://${callerAddress}/${SERVICE}/${index}`;
      const result = await callEntry(url, { deadlineMs: DEADLINE_MS });
      results.push({ ...result, entryId: id });
      await delay(20);
    }
  });
  return {
    async end(): Promise<void> {
      ended = true;
      await Promise.all(loops);
      console.log(
        countBy(results, ({ entryId, kind }) => `${entryId} ${kind}`),
      );
      const wrong = results.filter((result) =>
        result.kind !== "answer" || result.status !== 200 ||
        result.elapsedMs > DEADLINE_MS + GRACE_MS
      );
      assert.equal(wrong.slice(0, 5), [], "not answered in time");
    },
  };
}

/** Two regions that see each other's entries, and the second one the store, through relays. */
async function withRegions(
  body: (parts: {
    deployment: Deployment;
    sides: readonly [EntryProcess[], EntryProcess[]];
    links: readonly TcpRelay[];
    storeLink: TcpRelay;
    configFile: string;
  }) => Promise<void>,
): Promise<void> {
  const otherList = await startVmListServer();
  const links: TcpRelay[] = [];
  const storeLinks: TcpRelay[] = [];
  async function adjustVm(vm: Vm): Promise<Vm> {
    const link = vm.role === "entry"
      ? await startTcpRelay(vm.controlAddress)
      : undefined;
    if (link !== undefined) links.push(link);
    const far = { ...vm, controlAddress: link?.address ?? vm.controlAddress };
    const isNear = vm.region === REGIONS[0];
    otherList.vms.set(vm.id, isNear ? far : vm);
    return isNear ? vm : far;
  }
  const configFile = await writeConfig();
  try {
    await withDeployment(
      { configFile, entryCount: 0, adjustVm },
      async (deployment) => {
        const storeLink = await startTcpRelay(deployment.store.address);
        storeLinks.push(storeLink);
        const platform = {
          storeUrl: `http://${storeLink.address}`,
          vmListUrl: `http://${otherList.address}`,
        };
        const start = (ids: string[], region: string, other = {}) =>
          Promise.all(
            ids.map((id) => deployment.startEntry(id, { region, ...other })),
          );
        const near = await start(["near-1", "near-2"], REGIONS[0]);
        const far = await start(["far-1", "far-2"], REGIONS[1], { platform });
        await waitUntilServing(deployment.entries, [SERVICE]);
        const sides = [near, far] as const;
        await body({ deployment, sides, links, storeLink, configFile });
      },
    );
  } finally {
    const relays = [...links, ...storeLinks];
    await Promise.all([...relays, otherList].map((part) => part.close()));
  }
}

/** Applies files before, in and after a partition in which the second region has no store. */
function checkPartition(
  options: { fault: "disconnect" | "pause"; storeReturns: boolean },
): Promise<void> {
  return withRegions(
    async ({ deployment, sides, links, storeLink, configFile }) => {
      const { entries } = deployment;
      const [near, far] = sides;
      const watch = new RevisionWatch(entries, { pollIntervalMs: 25 });
      const callers = startCallers(entries);
      try {
        const before = await applyChange(deployment, 3_000, configFile);
        await watch.inForce(entries, before.revision);
        for (const link of [...links, storeLink]) link[options.fault]();
        const startedAtMs = Date.now();

        const refused = await deployment.runCommand(
          ["apply", configFile, "--store", `http://${storeLink.address}`],
        );
        assert.is.not(refused.code, 0, refused.output);

        const during = await applyChange(deployment, 3_001, configFile);
        const nearMs = await watch.inForce(near, during.revision) -
          during.appliedAtMs;
        assert.ok(nearMs < SAME_SIDE_LIMIT_MS, `${nearMs} ms`);
        await delay(Math.max(0, startedAtMs + PARTITION_MS - Date.now()));
        const farRevisions = far.map((entry) => watch.latest(entry));
        assert.equal(farRevisions, far.map(() => before.revision));

        links.forEach((link) => link.restore());
        if (options.storeReturns) storeLink.restore();
        const healedAtMs = Date.now();
        const farMs = await watch.inForce(far, during.revision) - healedAtMs;
        console.log(
          `${options.fault}: in force after ${nearMs} ms, on the other side ${farMs} ms after the partition`,
        );
        assert.ok(farMs < OTHER_SIDE_LIMIT_MS, `${farMs} ms`);
        storeLink.restore();
        const after = await applyChange(deployment, 3_002, configFile);
        await watch.inForce(entries, after.revision);
        assert.equal(
          entries.map((entry) => watch.latest(entry)),
          entries.map(() => after.revision),
        );
      } finally {
        await callers.end();
        await watch.end();
      }
    },
  );
}

// Guards against a region that needs the other one to serve, and against links that stay unused after an outage.
test("regions that are cut off from each other serve, and agree afterwards", () =>
  checkPartition({ fault: "disconnect", storeReturns: true }));

// Without the store, the exchange between regions is the only way that the file can take.
test("a region that was cut off gets the file without the store", () =>
  checkPartition({ fault: "disconnect", storeReturns: false }));

test("a region whose links held bytes back gets the file without the store", () =>
  checkPartition({ fault: "pause", storeReturns: false }));

test.run();
