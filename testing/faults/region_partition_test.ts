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
  countByName,
  withDeployment,
} from "./scenario.ts";

const REGIONS = ["khomas", "punjab-east"] as const;
const SERVICE = "quoting";
const PARTITION_MS = 16_000;
/** Limit of the roll-out time in the region that reaches the store, in ms. */
const SAME_REGION_LIMIT_MS = 5_000;
/** Limit of the time from the end of the partition to the roll-out in the other region, in ms. */
const OTHER_REGION_LIMIT_MS = 11_000;
/** Default deadline of the service in the configuration file. */
const DEADLINE_MS = 2_000;
/** Time after its deadline within which each request must be answered, in ms. */
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

/** Sends requests to each entry, one at a time per entry, until stopped. */
function startCallers(entries: readonly EntryProcess[]) {
  const results: (CallResult & { entryId: string })[] = [];
  let stopped = false;
  const loops = entries.map(async ({ id, callerAddress }) => {
    for (let index = 0; !stopped; index++) {
      const url = `http://${callerAddress}/${SERVICE}/${index}`;
      const result = await callEntry(url, { deadlineMs: DEADLINE_MS });
      results.push({ ...result, entryId: id });
      await delay(20);
    }
  });
  return {
    async stop(): Promise<void> {
      stopped = true;
      await Promise.all(loops);
      console.log(
        countByName(results, ({ entryId, kind }) => `${entryId} ${kind}`),
      );
      const unanswered = results.filter((result) =>
        result.kind !== "answer" || result.status !== 200 ||
        result.elapsedMs > DEADLINE_MS + GRACE_MS
      );
      assert.equal(unanswered.slice(0, 5), [], "not answered in time");
    },
  };
}

/** Starts two regions that reach each other's entries through relays; the second one also reaches the store through a relay. */
async function withRegions(
  body: (context: {
    deployment: Deployment;
    entriesByRegion: readonly [EntryProcess[], EntryProcess[]];
    links: readonly TcpRelay[];
    storeLink: TcpRelay;
    configFile: string;
  }) => Promise<void>,
): Promise<void> {
  const remoteVmList = await startVmListServer();
  const links: TcpRelay[] = [];
  const storeLinks: TcpRelay[] = [];
  async function adjustVm(vm: Vm): Promise<Vm> {
    const link = vm.role === "entry"
      ? await startTcpRelay(vm.controlAddress)
      : undefined;
    if (link !== undefined) links.push(link);
    const far = { ...vm, controlAddress: link?.address ?? vm.controlAddress };
    const isNear = vm.region === REGIONS[0];
    remoteVmList.vms.set(vm.id, isNear ? far : vm);
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
          vmListUrl: `http://${remoteVmList.address}`,
        };
        const start = (ids: string[], region: string, other = {}) =>
          Promise.all(
            ids.map((id) => deployment.startEntry(id, { region, ...other })),
          );
        const near = await start(["near-1", "near-2"], REGIONS[0]);
        const far = await start(["far-1", "far-2"], REGIONS[1], { platform });
        await waitUntilServing(deployment.entries, [SERVICE]);
        const entriesByRegion = [near, far] as const;
        await body({
          deployment,
          entriesByRegion,
          links,
          storeLink,
          configFile,
        });
      },
    );
  } finally {
    const relays = [...links, ...storeLinks];
    await Promise.all([...relays, remoteVmList].map((part) => part.close()));
  }
}

/** Applies configurations before, during and after a partition that cuts the second region off from the first one and from the store. */
function runPartitionScenario(
  options: { fault: "disconnect" | "pause"; storeRecovers: boolean },
): Promise<void> {
  return withRegions(
    async (
      { deployment, entriesByRegion, links, storeLink, configFile },
    ) => {
      const { entries } = deployment;
      const [near, far] = entriesByRegion;
      const watch = new RevisionWatch(entries, { pollIntervalMs: 25 });
      const callers = startCallers(entries);
      try {
        const before = await applyChange(deployment, 3_000, configFile);
        await watch.waitForRevision(entries, before.revision);
        for (const link of [...links, storeLink]) link[options.fault]();
        const startedAtMs = Date.now();

        const refused = await deployment.runCommand(
          ["apply", configFile, "--store", `http://${storeLink.address}`],
        );
        assert.is.not(refused.code, 0, refused.output);

        const during = await applyChange(deployment, 3_001, configFile);
        const nearMs = await watch.waitForRevision(near, during.revision) -
          during.appliedAtMs;
        assert.ok(nearMs < SAME_REGION_LIMIT_MS, `${nearMs} ms`);
        await delay(Math.max(0, startedAtMs + PARTITION_MS - Date.now()));
        const farRevisions = far.map((entry) => watch.latest(entry));
        assert.equal(farRevisions, far.map(() => before.revision));

        links.forEach((link) => link.restore());
        if (options.storeRecovers) storeLink.restore();
        const restoredAtMs = Date.now();
        const farMs = await watch.waitForRevision(far, during.revision) -
          restoredAtMs;
        console.log(
          `${options.fault}: in force after ${nearMs} ms, in the other region ${farMs} ms after the partition`,
        );
        assert.ok(farMs < OTHER_REGION_LIMIT_MS, `${farMs} ms`);
        storeLink.restore();
        const after = await applyChange(deployment, 3_002, configFile);
        await watch.waitForRevision(entries, after.revision);
        assert.equal(
          entries.map((entry) => watch.latest(entry)),
          entries.map(() => after.revision),
        );
      } finally {
        await callers.stop();
        await watch.stop();
      }
    },
  );
}

// Guards against a region that can't serve without the other one, and against peer links that aren't
// used again after an outage.
test("partitioned regions keep serving and converge afterwards", () =>
  runPartitionScenario({ fault: "disconnect", storeRecovers: true }));

// Without the store, a configuration can only arrive through gossip between the regions.
test("a region gets the configuration from the other one after a partition, without the store", () =>
  runPartitionScenario({ fault: "disconnect", storeRecovers: false }));

test("a region gets the configuration from the other one after its links were frozen, without the store", () =>
  runPartitionScenario({ fault: "pause", storeRecovers: false }));

test.run();
