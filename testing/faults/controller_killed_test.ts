import { test } from "uvu";
import * as assert from "uvu/assert";
import type { VmRecord } from "../../src/fleet/record.ts";
import type { Deployment } from "../deployment.ts";
import { waitFor } from "../wait.ts";
import { buildConfigWithPools, withController } from "./controller_scenario.ts";
import { CONTROLLER_LEASE, trackFleetRecords } from "./fleet_records.ts";

const VM_COUNT = 2;
const KILL_COUNT = 3;
/** Long enough to kill the controller during the reboot. */
const REBOOT_DURATION_MS = 2_000;
const TIMEOUT = { timeoutMs: 40_000 };

/** Kills the controller's process and removes its VM from the VM list; returns the id of its entry. */
function killController({ store, entries, vmList }: Deployment): string {
  const holder = store.leaseHolder(CONTROLLER_LEASE);
  const entry = entries.find(({ id }) => id === holder)!;
  entry.process.kill("SIGKILL");
  vmList.vms.delete(entry.id);
  return entry.id;
}

// Guards against a drain intent that is lost when the controller dies, and against a second reboot by the next controller.
test("a drain finishes with exactly one reboot when controllers are killed in each of its phases", () =>
  withController(
    buildConfigWithPools({ survey: { vms: VM_COUNT } }),
    {
      entryCount: KILL_COUNT + 1,
      worker: { agent: { rebootMs: REBOOT_DURATION_MS } },
      workerProcesses: 1,
    },
    async (deployment) => {
      const { store, workers } = deployment;
      const records = await trackFleetRecords(store.values, VM_COUNT);
      const killedIds: string[] = [];
      // Kills the writing controller before it learns that the intent, and later the reboot, was recorded.
      const statesToKillIn: VmRecord["state"][] = ["draining", "rebooting"];
      let firstDrain: [string, VmRecord] | undefined;
      records.onWrite = ({ vms }) => {
        const found = Object.entries(vms).find(([id, { state }]) =>
          state === statesToKillIn[0] &&
          (firstDrain === undefined || id === firstDrain[0])
        );
        if (found === undefined) return;
        firstDrain ??= found;
        statesToKillIn.shift();
        killedIds.push(killController(deployment));
      };
      const fetchReboots = async (id: string) =>
        (await workers.get(id)!.journal()).reboots;
      await waitFor(
        "two controllers are killed",
        () => killedIds.length === 2,
        {
          timeoutMs: 45_000,
        },
      );
      const [id, { transition }] = firstDrain!;
      assert.equal(
        await fetchReboots(id),
        [],
        "rebooted before the reboot was recorded",
      );
      await waitFor(
        "a third controller reboots the VM",
        async () => (await fetchReboots(id)).length > 0,
        TIMEOUT,
      );
      assert.is(records.latest().vms[id]?.state, "rebooting");
      killedIds.push(killController(deployment));
      await waitFor(
        "the last entry finishes the wave",
        () =>
          Object.values(records.latest().vms).every((vm) =>
            vm.state === "serving" && vm.maintainedAtMs > 0
          ),
        TIMEOUT,
      );
      assert.is(new Set(killedIds).size, KILL_COUNT);
      assert.equal(await fetchReboots(id), [transition!.intentId]);
      for (const vmId of workers.keys()) {
        assert.is((await fetchReboots(vmId)).length, 1, vmId);
      }
      console.log(`${records.history.length} records, killed: ${killedIds}`);
    },
  ));

test.run();
