import assert from "node:assert/strict";
import { suite } from "uvu";
import { createEntryClient, EntryCallError } from "./entry_client.ts";
import { createEntryDirectory } from "./entry_directory.ts";
import { canConnect } from "./owner_reachability.ts";
import { resolveSchedulerSettings } from "./settings.ts";

const test = suite("entry directory");

const ODD_PEERS = [
  "10.0.0.1:99999",
  "10.0.0.1:0",
  "10.0.0.1:http",
  "999.0.0.1:80",
  "",
  7,
  null,
  [[[]]],
];

// Guards against a process that doesn't start, or whose owner discovery ends with an error, because one of the addresses that it was given or that has called it isn't one.
test("what isn't an address of an entry is left out", async () => {
  const { seedPeers, listen } = resolveSchedulerSettings(
    JSON.stringify({
      entryId: "entry-1",
      dataCentre: "dc-1",
      region: "r",
      listen: {
        callers: "10.0.0.1:1",
        readiness: "10.0.0.1:2",
        peers: "10.0.0.1:3",
      },
      seedPeers: [...ODD_PEERS, "127.0.0.1:3"],
      platform: { storeAddress: "10.0.0.2:1", vmApiAddress: "10.0.0.2:2" },
    }),
    "test",
  );
  const directory = createEntryDirectory({
    selfAddress: listen.peers,
    seedPeers,
    connect: createEntryClient,
  });
  for (const ip of ["", "::1", "fe80::1%eth0", "::ffff:127.0.0.2"]) {
    directory.recordCaller(ip);
  }
  assert.deepEqual(directory.list(10), ["127.0.0.2:3", "127.0.0.1:3"]);
  for (const address of directory.list(10)) {
    const client = directory.client(address);
    await assert.rejects(() => client.owner(), EntryCallError);
    client.close();
  }
});

// Guards against an error instead of an answer to whether the owner can be reached.
test("an address out of range can't be connected to", async () => {
  for (const address of ["10.0.0.1:99999", "10.0.0.1:x", "", "::1:80"]) {
    assert.equal(await canConnect(address), false, address);
  }
});

test.run();
