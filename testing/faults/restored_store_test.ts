import { test } from "uvu";
import * as assert from "uvu/assert";
import { CONFIG_KEY } from "../../src/constants.ts";
import { fleetKey } from "../../src/fleet/record.ts";
import { waitFor } from "../wait.ts";
import { CONFIG_FILE, withDeployment } from "./scenario.ts";

const FLEET_KEY = fleetKey("khomas");
const GAUGE = /^cowslipferry_config_store_behind_revisions(?:\{\})? (\d+)$/m;

// Guards against a store that is restored from an older backup without being noticed, and against
// applies that entries ignore because they already have a higher revision.
test("a store restored to an older revision is reported, and an apply with a higher revision takes effect", () =>
  withDeployment({ entryCount: 2 }, async (deployment) => {
    const { entries, store, storeUrl, vmListUrl } = deployment;
    const runCommand = async (...args: string[]) => {
      const { code, output } = await deployment.runCommand(
        [...args, "--store", storeUrl, "--vm-list", vmListUrl],
      );
      return { code, output };
    };
    const backup = store.values.get(CONFIG_KEY)!;
    const applied = JSON.parse(backup.value);
    const newerConfig = { ...applied, revision: 3, applyId: "lost" };
    const readFleet = () => JSON.parse(store.values.get(FLEET_KEY)!.value);
    await waitFor("the fleet record exists", () => store.values.has(FLEET_KEY));
    const fleetBackup = store.values.get(FLEET_KEY)!;
    const newerFleet = { ...readFleet(), revision: 50 };
    store.values.set(CONFIG_KEY, {
      value: JSON.stringify(newerConfig),
      version: 3,
    });
    store.values.set(FLEET_KEY, {
      value: JSON.stringify(newerFleet),
      version: 50,
    });
    store.server.closeAllConnections();
    const readGauges = () =>
      Promise.all(entries.map(async ({ adminAddress }) => {
        const response = await fetch(`http://${adminAddress}/metrics`);
        return GAUGE.exec(await response.text())?.[1];
      }));
    const readRevisions = (part: "config" | "fleet") =>
      Promise.all(entries.map(async ({ adminAddress }) => {
        const response = await fetch(
          `http://${adminAddress}/dump?part=${part}`,
        );
        const dump = await response.json() as typeof applied;
        return dump[part].revision as number;
      }));
    await waitFor(
      "configuration 3 and fleet record 50 are in use",
      async () =>
        (await readRevisions("config")).every((revision) => revision === 3) &&
        (await readRevisions("fleet")).every((revision) => revision >= 50),
    );
    store.values.set(CONFIG_KEY, backup);
    store.values.set(FLEET_KEY, fleetBackup);
    store.server.closeAllConnections();
    await waitFor(
      "both entries report the older store",
      async () => (await readGauges()).every((value) => value === "2"),
    );
    // With a revision below 50, acknowledgements from before the restore would count for new drains.
    await waitFor(
      "the fleet record gets a higher revision",
      () => readFleet().revision > 50,
    );
    const status = await runCommand("status");
    assert.match(status.output, "STORE BEHIND: 2 entries know revision 3");
    assert.match(status.output, "sees the store at older revision 1");
    assert.match((await runCommand("dump", "entry-1")).output, '"storeBehind"');
    const refused = await runCommand("apply", CONFIG_FILE, "--json");
    assert.is(refused.code, 1);
    const { error } = JSON.parse(refused.output);
    assert.is(error.kind, "store_behind");
    assert.equal([error.storeRevision, error.entryRevision], [1, 3]);
    const accepted = await runCommand(
      "apply",
      CONFIG_FILE,
      "--above-revision",
      "3",
      "--wait",
    );
    assert.is(accepted.code, 0, accepted.output);
    assert.match(accepted.output, "accepted as revision 4");
    assert.equal(await readRevisions("config"), [4, 4]);
    await waitFor(
      "the entries stop reporting the older store",
      async () => (await readGauges()).every((value) => value === "0"),
    );
  }));

test.run();
