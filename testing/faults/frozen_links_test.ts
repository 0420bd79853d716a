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
  countByName,
  runConcurrently,
  SERVICES,
  withDeployment,
} from "./scenario.ts";

/** Shortest duration of a freeze, in ms. */
const FREEZE_MS = 7_000;
const ROLL_OUT_LIMIT_MS = 5_000;
/** Time after its deadline within which each request must get its final response, in ms. */
const GRACE_MS = 500;
const CALLER_COUNT = 6;
/** Number of requests whose idempotency key was issued by the frozen entry. */
const FORWARDED_COUNT = 40;
/** Limit that ends the callers if the test doesn't; not reached in a passing run. */
const MAXIMUM_REQUESTS = 100_000;

/** Sends requests through all entries until stopped; every third has an idempotency key that any entry may have issued. */
function startCallers(entries: readonly EntryProcess[]) {
  const random = createRandom(chooseSeed());
  const exchanges: RawExchange[] = [];
  const options = { count: MAXIMUM_REQUESTS, concurrency: CALLER_COUNT };
  let stopped = false;
  const finished = runConcurrently(options, async (index) => {
    if (stopped) return;
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
    async stop(): Promise<readonly RawExchange[]> {
      stopped = true;
      await finished;
      return exchanges;
    },
  };
}

function checkExchanges(
  exchanges: readonly RawExchange[],
): Record<string, number> {
  const outcomes = countByName(exchanges, (item) => item.outcome);
  const lateMs = exchanges.map((item) => item.elapsedMs - item.deadlineMs);
  const latestMs = lateMs.reduce((most, value) => Math.max(most, value));
  console.log(outcomes, `latest: ${Math.round(latestMs)} ms after deadline`);
  const invalid = exchanges.filter((item) =>
    item.statusLines !== 1 || !item.complete || item.outcome === "" ||
    item.elapsedMs > item.deadlineMs + GRACE_MS ||
    (item.outcome === "not_run" && !item.retryAfter)
  );
  assert.equal(
    invalid.slice(0, 5),
    [],
    "not exactly one final response in time",
  );
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

async function haveConverged(
  entries: readonly EntryProcess[],
): Promise<boolean> {
  const dumps = await readDumps(entries);
  const revision = dumps[0]?.config.revision;
  return dumps.every(({ config, entries: digests, peers }) =>
    config.revision === revision && digests.length === entries.length &&
    digests.every((item) => item.configRevision === revision) &&
    peers.members.every((member) => member.state === "live")
  );
}

// Guards against links that drop calls without an error: requests must not wait for them, and a
// roll-out must not wait for one link after another.
test("frozen links between entries delay neither requests nor a roll-out", async () => {
  const links = createRelays(() => false);
  const storeRelays: TcpRelay[] = [];

  async function checkRollOut(
    deployment: Deployment,
    watch: RevisionWatch,
    options: { frozen: readonly EntryProcess[]; deadlineMs: number },
  ): Promise<void> {
    const frozenLinks = options.frozen.map(({ id }) => links.byVm.get(id)!);
    frozenLinks.forEach((link) => link.pause());
    const frozenAtMs = Date.now();
    const { revision, appliedAtMs } = await applyChange(
      deployment,
      options.deadlineMs,
    );
    const endMs = await watch.waitForRevision(deployment.entries, revision);
    const timeMs = endMs - appliedAtMs;
    console.log(
      `${frozenLinks.length} links frozen: in force after ${timeMs} ms`,
    );
    assert.ok(timeMs < ROLL_OUT_LIMIT_MS, `${timeMs} ms`);
    await delay(Math.max(0, frozenAtMs + FREEZE_MS - Date.now()));
    const dumps = await readDumps(deployment.entries);
    const failing = dumps.flatMap(({ peers }) =>
      peers.links.filter((link) => link.failuresInRow > 0)
    );
    for (const { address } of frozenLinks) {
      assert.ok(
        failing.some((link) => link.address === address),
        `no failed calls on the link to ${address}`,
      );
    }
    frozenLinks.forEach((link) => link.restore());
    const restoredAtMs = Date.now();
    await waitFor("all entries agree", () => haveConverged(deployment.entries));
    console.log(
      `all entries agree ${
        Date.now() - restoredAtMs
      } ms after the links were restored`,
    );
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
      await watch.waitForRevision(entries, 1);
      const callers = startCallers(entries);
      try {
        await waitFor("all entries agree", () => haveConverged(entries));
        await checkRollOut(deployment, watch, {
          frozen: entries,
          deadlineMs: 3_000,
        });
        // Entries 4 and 5 can get the configuration only from peers, and no entry can reach entries 1, 2 and 4.
        storeRelays.forEach((relay) => relay.disconnect());
        for (const deadlineMs of [3_001, 3_002]) {
          await checkRollOut(deployment, watch, {
            frozen: [entries[0]!, entries[1]!, entries[3]!],
            deadlineMs,
          });
        }
      } finally {
        const exchanges = await callers.stop();
        const outcomes = checkExchanges(exchanges);
        // Requests need no other entry, so frozen links affect at most the forwarded requests.
        assert.ok(
          (outcomes.answer ?? 0) > exchanges.length / 2,
          "fewer than half of the requests were answered",
        );
        await watch.stop();
      }
    });
  } finally {
    await links.close();
    await Promise.all(storeRelays.map((relay) => relay.close()));
  }
});

// Relays cover only peer addresses. Freezing the process also stalls its port for callers, to which
// a request with a key of that entry is forwarded.
test("a request forwarded to a frozen entry gets outcome_unknown by its deadline", () =>
  withDeployment({ entryCount: 2 }, async ({ entries: [entry, issuer] }) => {
    const random = createRandom(chooseSeed());
    const keys = await Promise.all(
      Array.from(
        { length: FORWARDED_COUNT },
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
    assert.equal(checkExchanges(exchanges), {
      outcome_unknown: FORWARDED_COUNT,
    });
  }));

test.run();
