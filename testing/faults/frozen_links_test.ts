import { setTimeout as delay } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { requestIdempotencyKey } from "../caller.ts";
import type { Deployment, EntryProcess } from "../deployment.ts";
import { chooseSeed, createRandom } from "../random.ts";
import { type RawExchange, sendRawRequest } from "../raw_exchange.ts";
import { startTcpRelay, type TcpRelay } from "../tcp_relay.ts";
import { waitFor } from "../wait.ts";
import { createRelays } from "./relays.ts";
import { RevisionWatch } from "./revision_watch.ts";
import {
  applyChange,
  countBy,
  runConcurrently,
  SERVICES,
  withDeployment,
} from "./scenario.ts";

const HOLD_MS = 7_000;
const ROLL_OUT_LIMIT_MS = 5_000;
const GRACE_MS = 500;
const CALLERS = 6;
/** Requests with keys of the entry that is frozen. */
const FORWARDED = 40;
/** Ends the callers if the test doesn't; never reached in a passing run. */
const MAXIMUM_REQUESTS = 100_000;

/** Sends requests through all entries, each third with a key of another entry, until it is ended. */
function startCallers(entries: readonly EntryProcess[]) {
  const random = createRandom(chooseSeed());
  const exchanges: RawExchange[] = [];
  const options = { count: MAXIMUM_REQUESTS, concurrency: CALLERS };
  let ended = false;
  const done = runConcurrently(options, async (index) => {
    if (ended) return;
    const entry = entries[random.nextInteger(entries.length)]!;
    const issuer = entries[random.nextInteger(entries.length)]!;
    const key = index % 3 === 0
      ? await requestIdempotencyKey(issuer.callerAddress)
      : undefined;
    exchanges.push(
      await sendRawRequest(entry.callerAddress, {
        path: `/${SERVICES[index % SERVICES.length]}/links/${index}`,
        deadlineMs: 200 + random.nextInteger(1_000),
        ...(key === undefined ? {} : { idempotencyKey: key }),
      }),
    );
    await delay(10);
  });
  return {
    async end(): Promise<readonly RawExchange[]> {
      ended = true;
      await done;
      return exchanges;
    },
  };
}

function checkExchanges(
  exchanges: readonly RawExchange[],
): Record<string, number> {
  const outcomes = countBy(exchanges, (item) => item.outcome);
  const lateMs = exchanges.map((item) => item.elapsedMs - item.deadlineMs);
  const latestMs = lateMs.reduce((most, value) => Math.max(most, value));
  console.log(outcomes, `latest: ${Math.round(latestMs)} ms after deadline`);
  const wrong = exchanges.filter((item) =>
    item.statusLines !== 1 || !item.complete || item.outcome === "" ||
    item.elapsedMs > item.deadlineMs + GRACE_MS ||
    (item.outcome === "not_run" && !item.retryAfter)
  );
  assert.equal(wrong.slice(0, 5), [], "not one final response in time");
  return outcomes;
}

interface Dump {
  readonly config: { revision: number };
  readonly entries: readonly { configRevision: number }[];
  readonly peers: {
    readonly members: readonly { state: string }[];
    readonly links: readonly { address: string; failuresInRow: number }[];
  };
}

function readDumps(entries: readonly EntryProcess[]): Promise<Dump[]> {
  return Promise.all(entries.map(async ({ adminAddress }) => {
    const response = await fetch(`http://${adminAddress}/dump`);
    return await response.json() as Dump;
  }));
}

async function agree(entries: readonly EntryProcess[]): Promise<boolean> {
  const dumps = await readDumps(entries);
  const revision = dumps[0]?.config.revision;
  return dumps.every(({ config, entries: known, peers }) =>
    config.revision === revision && known.length === entries.length &&
    known.every((item) => item.configRevision === revision) &&
    peers.members.every((member) => member.state === "live")
  );
}

// Guards against links that swallow calls without an error: calls that wait for them, and roll-outs that wait for each in turn.
test("frozen links between entries delay neither requests nor a roll-out", async () => {
  const links = createRelays(() => false);
  const storeRelays: TcpRelay[] = [];

  async function checkRollOut(
    deployment: Deployment,
    watch: RevisionWatch,
    options: { frozen: readonly EntryProcess[]; deadlineMs: number },
  ): Promise<void> {
    const frozen = options.frozen.map(({ id }) => links.byVm.get(id)!);
    frozen.forEach((link) => link.pause());
    const heldAtMs = Date.now();
    const { revision, appliedAtMs } = await applyChange(
      deployment,
      options.deadlineMs,
    );
    const endMs = await watch.inForce(deployment.entries, revision);
    const timeMs = endMs - appliedAtMs;
    console.log(`${frozen.length} links frozen: in force after ${timeMs} ms`);
    assert.ok(timeMs < ROLL_OUT_LIMIT_MS, `${timeMs} ms`);
    await delay(Math.max(0, heldAtMs + HOLD_MS - Date.now()));
    const dumps = await readDumps(deployment.entries);
    const failing = dumps.flatMap(({ peers }) =>
      peers.links.filter((link) => link.failuresInRow > 0)
    );
    for (const { address } of frozen) {
      assert.ok(failing.some((link) => link.address === address), "not frozen");
    }
    frozen.forEach((link) => link.restore());
    const healedAtMs = Date.now();
    await waitFor("all entries agree", () => agree(deployment.entries));
    console.log(`all agree ${Date.now() - healedAtMs} ms after the links work`);
  }

  try {
    await withDeployment({ adjustVm: links.adjustVm }, async (deployment) => {
      const { entries, store, vmListUrl } = deployment;
      for (const id of ["entry-4", "entry-5"]) {
        const relay = await startTcpRelay(store.address);
        storeRelays.push(relay);
        const storeUrl = `http://${relay.address}`;
        await deployment.startEntry(id, { platform: { storeUrl, vmListUrl } });
      }
      const watch = new RevisionWatch(entries, { pollIntervalMs: 25 });
      await watch.inForce(entries, 1);
      const callers = startCallers(entries);
      try {
        await waitFor("all entries agree", () => agree(entries));
        await checkRollOut(deployment, watch, {
          frozen: entries,
          deadlineMs: 3_000,
        });
        // Entries 4 and 5 can have the file only from peers, and entries 1, 2 and 4 hand out nothing.
        storeRelays.forEach((relay) => relay.disconnect());
        for (const deadlineMs of [3_001, 3_002]) {
          await checkRollOut(deployment, watch, {
            frozen: [entries[0]!, entries[1]!, entries[3]!],
            deadlineMs,
          });
        }
      } finally {
        const exchanges = await callers.end();
        const outcomes = checkExchanges(exchanges);
        // Requests need no other entry, so frozen links cost at most the forwarded ones.
        assert.ok((outcomes.answer ?? 0) > exchanges.length / 2, "few answers");
        await watch.end();
      }
    });
  } finally {
    await links.close();
    await Promise.all(storeRelays.map((relay) => relay.close()));
  }
});

// A frozen process holds the bytes back on its callers' port, which the VM list's relays don't cover.
test("a keyed request whose issuer holds all bytes back ends by its deadline", () =>
  withDeployment({ entryCount: 2 }, async ({ entries: [entry, issuer] }) => {
    const random = createRandom(chooseSeed());
    const keys = await Promise.all(
      Array.from(
        { length: FORWARDED },
        () => requestIdempotencyKey(issuer!.callerAddress),
      ),
    );
    issuer!.process.kill("SIGSTOP");
    const exchanges = await Promise.all(
      keys.map((key, index) =>
        sendRawRequest(entry!.callerAddress, {
          path: `/${SERVICES[0]}/forwarded/${index}`,
          deadlineMs: 200 + random.nextInteger(2_000),
          idempotencyKey: key!,
        })
      ),
    );
    issuer!.process.kill("SIGCONT");
    assert.equal(checkExchanges(exchanges), { outcome_unknown: FORWARDED });
  }));

test.run();
