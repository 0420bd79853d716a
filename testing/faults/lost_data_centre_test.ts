import { test } from "uvu";
import * as assert from "uvu/assert";
import { resolveConfig } from "../../src/config/validate.ts";
import { parseFleetRecord } from "../../src/fleet/follower.ts";
import { checkRecord } from "../../src/fleet/record_check.ts";
import { readTextFile } from "../../src/settings/load.ts";
import { callEntry, isExpectedAnswer } from "../caller.ts";
import type { Deployment } from "../deployment.ts";
import { waitFor } from "../wait.ts";
import { FLEET_KEY, followRecords } from "./fleet_records.ts";
import { CONFIG_FILE, SERVICES, withDeployment } from "./scenario.ts";

const DATA_CENTRES = ["khomas-1", "khomas-2", "khomas-3"];
/** Index of the data centre that is lost. */
const LOST = 0;
const OWNER = "backoffice";
const BORROWERS = ["quoting", "survey", "dispatch"];
const REQUESTS_PER_SERVICE = 40;
/** Long enough that a busy machine doesn't end requests, in ms. */
const DEADLINE_MS = 20_000;
/** Until the lost instances are ejected, a request can meet three of them in its three attempts: 1 in 27. */
const MAXIMUM_UNANSWERED = 0.1;
const config = resolveConfig(await readTextFile(CONFIG_FILE), CONFIG_FILE);

/**
 * Writes the intents to lend one of the owner's VMs of each data centre, as a controller that was
 * killed then leaves them. A controller starts no loan of its own in its first 30 s.
 */
function lendFromEachDataCentre({ store }: Deployment): readonly string[] {
  const { value, version } = store.values.get(FLEET_KEY)!;
  const record = parseFleetRecord(value);
  const revision = record.revision + 1;
  const lent = DATA_CENTRES.map((dataCentre, index) => {
    const [vmId, vm] = Object.entries(record.vms).find(([, candidate]) =>
      candidate.homePool === OWNER && candidate.dataCentre === dataCentre
    )!;
    const startedAtMs = Date.now();
    record.vms[vmId] = {
      ...vm,
      state: "draining",
      changedAtMs: startedAtMs,
      transition: {
        intentId: `${revision}-${vmId}`,
        kind: "move",
        reason: "test",
        startedAtMs,
        fleetRevision: revision,
        targetPool: BORROWERS[index]!,
      },
    };
    return vmId;
  });
  const next = JSON.stringify({ ...record, revision });
  store.values.set(FLEET_KEY, { value: next, version: version + 1 });
  store.server.closeAllConnections();
  return lent;
}

/** Sends requests for each service one after another; they must be answered, by the workers that are left. */
async function checkAnswers({ entries }: Deployment, lost: Set<string>) {
  let unanswered = 0;
  await Promise.all(SERVICES.map(async (service, offset) => {
    for (let sent = 0; sent < REQUESTS_PER_SERVICE; sent++) {
      const entry = entries[(offset + sent) % entries.length]!;
      const path = `/${service}/lost/${sent}`;
      const url = `http://${entry.callerAddress}${path}`;
      const result = await callEntry(url, { deadlineMs: DEADLINE_MS });
      if (isExpectedAnswer(result, { path })) {
        const { backend } = JSON.parse((result as { text: string }).text);
        assert.not.ok(lost.has(backend), `${backend} is lost and answers`);
      } else unanswered++;
    }
  }));
  const sent = SERVICES.length * REQUESTS_PER_SERVICE;
  console.log(`${unanswered} of ${sent} requests not answered`);
  assert.ok(unanswered <= sent * MAXIMUM_UNANSWERED, `${unanswered}`);
}

// Guards against an outage of one data centre that stops requests, breaks an owner's budget by a decision, or strands lent VMs.
test("a data centre is lost while VMs are lent", () =>
  withDeployment({
    workerProcesses: DATA_CENTRES.length,
    dataCentres: DATA_CENTRES,
  }, async (deployment) => {
    const { fleet, store, vmList } = deployment;
    const { latest, history } = await followRecords(
      store.values,
      fleet.vms.length,
    );
    const owned = () =>
      Object.values(latest().vms).filter(({ homePool }) => homePool === OWNER);
    const lent = lendFromEachDataCentre(deployment);
    await waitFor(
      "the loans are handed over",
      () => owned().filter(({ pool }) => pool !== OWNER).length === 3,
    );
    assert.equal(checkRecord(latest(), config), []);

    await fleet.killProcess(LOST);
    const lost = new Set(
      fleet.vms.filter((vm) => vm.dataCentre === DATA_CENTRES[LOST])
        .map(({ id }) => id),
    );
    // The VM list still shows the lost VMs.
    await checkAnswers(deployment, lost);
    for (const id of lost) vmList.vms.delete(id);
    await waitFor("the owner is at its budget again by a recall", () => {
      const { vms } = latest();
      const atHome = owned().filter(({ pool, state }) =>
        pool === OWNER && state === "serving"
      );
      return atHome.length === 3 &&
        [...lost].every((id) => vms[id]?.state === "failed");
    });
    assert.equal(
      lent.map((id) => latest().vms[id]?.pool === OWNER).toSorted(),
      [false, false, true],
      "one loan ended",
    );
    await checkAnswers(deployment, lost);

    for (const vm of await fleet.replaceProcess(LOST)) {
      vmList.vms.set(vm.id, vm);
    }
    await waitFor("the lost VMs are replaced at home", () => {
      const { vms } = latest();
      return [...lost].every((id) => {
        const vm = vms[id];
        return vm?.incarnation === "2" && vm.state === "serving" &&
          vm.pool === vm.homePool;
      });
    });
    console.log(`${history.length} records, ${lost.size} VMs lost`);
  }));

test.run();
