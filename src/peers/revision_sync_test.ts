import { createServer } from "node:http";
import { run } from "effection";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listenOnLoopback } from "../../testing/http_json_server.ts";
import { waitFor } from "../../testing/wait.ts";
import { silentLogger } from "../logger.ts";
import { createNotifier } from "../notifier.ts";
import { runRevisionSync } from "./revision_sync.ts";
import { createByteMeter } from "./byte_meter.ts";
import { createPeerServer } from "./router.ts";

const FROZEN_PEER_COUNT = 2;

// Guards against a fetch that is delayed by the timeout of each call to a peer behind a frozen link.
test("the next peer is asked before calls to unresponsive peers time out", async () => {
  const meter = createByteMeter();
  const calls = { started: 0, ended: 0 };
  const frozen = await Promise.all(
    Array.from({ length: FROZEN_PEER_COUNT }, async () => {
      const server = createServer((_request, response) => {
        calls.started++;
        response.on("close", () => calls.ended++);
      });
      return await listenOnLoopback(server);
    }),
  );
  const peer = await listenOnLoopback(createPeerServer({
    exchange: () => ({ records: [] }),
    exchangeConfigRevision: () => 0,
    configBody: () => "body",
    fleetBody: () => undefined,
  }, meter));
  let callsAtFetch: typeof calls | undefined;
  const task = run(() =>
    runRevisionSync({
      name: "configuration",
      currentRevision: () => callsAtFetch === undefined ? 1 : 2,
      reports: () =>
        [...frozen, peer].map(({ address }) => ({ address, revision: 2 })),
      fetchBody: (client, aboveRevision) => client.configBody(aboveRevision),
      applyIfNewer() {
        callsAtFetch = { ...calls };
        return true;
      },
      meter,
      notifier: createNotifier(),
      log: silentLogger,
      // Chooses the frozen peers first.
      random: () => 0,
    })
  );
  try {
    await waitFor(
      "the body is fetched",
      () => callsAtFetch !== undefined,
    );
    assert.equal(callsAtFetch, { started: FROZEN_PEER_COUNT, ended: 0 });
  } finally {
    await task.halt().catch(() => {});
    await Promise.all([...frozen, peer].map((server) => server.close()));
  }
});

test.run();
