import { createServer } from "node:http";
import { run } from "effection";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listenOnLoopback } from "../../testing/http_json_server.ts";
import { waitFor } from "../../testing/wait.ts";
import { silentLogger } from "../logger.ts";
import { createWake } from "../wake.ts";
import { runBodySync } from "./body_sync.ts";
import { createByteMeter } from "./byte_meter.ts";
import { createPeerServer } from "./router.ts";

const FROZEN_PEERS = 5;

// Guards against a newer body that is late by the time limit of each call to a peer behind a frozen link.
test("peers that accept a connection and don't answer delay a fetch by less than one call's time limit", async () => {
  const meter = createByteMeter();
  const frozen = await Promise.all(
    Array.from({ length: FROZEN_PEERS }, async () => {
      const server = createServer(() => {});
      return await listenOnLoopback(server);
    }),
  );
  const peer = await listenOnLoopback(createPeerServer({
    exchange: () => ({ records: [] }),
    exchangeConfigRevision: () => 0,
    configBody: () => "body",
    fleetBody: () => undefined,
  }, meter));
  let revision = 1;
  const task = run(() =>
    runBodySync({
      name: "configuration",
      currentRevision: () => revision,
      reports: () =>
        [...frozen, peer].map(({ address }) => ({ address, revision: 2 })),
      fetch: (client, aboveRevision) => client.configBody(aboveRevision),
      advance() {
        revision = 2;
        return true;
      },
      meter,
      wake: createWake(),
      log: silentLogger,
      // The frozen peers come first.
      random: () => 0,
    })
  );
  try {
    const startedAtMs = performance.now();
    await waitFor("the body is fetched", () => revision === 2);
    const timeMs = performance.now() - startedAtMs;
    // 1.6 s is expected; one call after the other takes 15 s.
    assert.ok(timeMs < 5_000, `${timeMs} ms`);
  } finally {
    await task.halt().catch(() => {});
    await Promise.all([...frozen, peer].map((server) => server.close()));
  }
});

test.run();
