import { test } from "uvu";
import * as assert from "uvu/assert";
import type { VmRecord } from "../../src/fleet/record.ts";
import type { Deployment } from "../deployment.ts";
import { waitFor } from "../wait.ts";
import { buildPools, withController } from "./controller_scenario.ts";
import { CONTROLLER_LEASE, followRecords } from "./fleet_records.ts";

const VMS = 2;
const KILLS = 3;
/** Long enough that the controller is killed while the reboot runs. */
const REBOOT_MS = 2_000;
const TIMEOUT = { timeoutMs: 40_000 };

/** Kills the controller's process at once; the VM list drops it as well. */
function killController({ store, entries, vmList }: Deployment): string {
  const holder = store.leaseHolder(CONTROLLER_LEASE);
  const entry = entries.find(({ id }) => id === holder)!;
  entry.process.kill("SIGKILL");
  vmList.vms.delete(entry.id);
  return entry.id;
}

// Guards against an intent that is lost with its controller, and against a second reboot by its successor.
test("controllers are killed between a drain's intent, its reboot and its end", () =>
  withController(
    buildPools({ survey: { vms: VMS } }),
    {
      entryCount: KILLS + 1,
      worker: { agent: { rebootMs: REBOOT_MS } },
      workerProcesses: 1,
    },
    async (deployment) => {
      const { store, workers } = deployment;
      const records = await followRecords(store.values, VMS);
      const killed: string[] = [];
      // The writer is killed before it learns that its intent, and then that its reboot, is recorded.
      const states: VmRecord["state"][] = ["draining", "rebooting"];
      let first: [string, VmRecord] | undefined;
      records.onWrite = ({ vms }) => {
        const found = Object.entries(vms).find(([id, { state }]) =>
          state === states[0] && (first === undefined || id === first[0])
        );
        if (found === undefined) return;
        first ??= found;
        states.shift();
        killed.push(killController(deployment));
      };
      const rebootsOf = async (id: string) =>
        (await workers.get(id)!.journal()).reboots;
      await waitFor("two controllers are killed", () => killed.length === 2, {
        timeoutMs: 45_000,
      });
      const [id, { transition }] = first!;
      assert.equal(await rebootsOf(id), [], "rebooted before its record");
      await waitFor(
        "a third controller has the VM rebooted",
        async () => (await rebootsOf(id)).length > 0,
        TIMEOUT,
      );
      assert.is(records.latest().vms[id]?.state, "rebooting");
      killed.push(killController(deployment));
      await waitFor(
        "the last entry ends the wave",
        () =>
          Object.values(records.latest().vms).every((vm) =>
            vm.state === "serving" && vm.maintainedAtMs > 0
          ),
        TIMEOUT,
      );
      assert.is(new Set(killed).size, KILLS);
      assert.equal(await rebootsOf(id), [transition!.intentId]);
      for (const vmId of workers.keys()) {
        assert.is((await rebootsOf(vmId)).length, 1, vmId);
      }
      console.log(`${records.history.length} records, killed: ${killed}`);
    },
  ));

test.run();
