import { createServer } from "node:http";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { listenOnLoopback } from "../../testing/http_json_server.ts";
import {
  createAppliedConfig,
  createNodeVm,
  type PeerNode,
  startPeerNode,
  startPeerNodes,
} from "../../testing/peer_nodes.ts";
import { waitFor } from "../../testing/wait.ts";
import { setConfigIfNewer } from "../config/follower.ts";
import { createObservable } from "../observable.ts";
import type { VmListSnapshot } from "../ports/vm_list_poller.ts";

const test = suite("peers");

const listEntryIds = (node: PeerNode) =>
  node.entries.get().map((item) => item.entryId);

async function withNodes(
  count: number,
  body: (
    nodes: PeerNode[],
    vmList: Awaited<ReturnType<typeof startPeerNodes>>["vmList"],
  ) => Promise<void>,
): Promise<void> {
  const { nodes, vmList, stop } = await startPeerNodes(count);
  try {
    await waitFor(
      "each node knows all nodes",
      () => nodes.every((node) => listEntryIds(node).length === count),
    );
    await body(nodes, vmList);
  } finally {
    await stop();
  }
}

test("a configuration spreads from one entry to all without a store, and an older one never replaces it", () =>
  withNodes(9, async (nodes) => {
    const startedAtMs = performance.now();
    nodes[0]?.config.set(createAppliedConfig(5));
    const revisions = () =>
      nodes.map((node) => node.config.get()?.revision ?? 0);
    await waitFor(
      "revision 5 is in force",
      () => revisions().every((revision) => revision === 5),
    );
    // About 0.3 s is expected.
    assert.ok(performance.now() - startedAtMs < 3_000);
    const seen = new Set<number>();
    for (const node of nodes) {
      node.config.subscribe((applied) => seen.add(applied?.revision ?? 0));
    }
    assert.is(
      setConfigIfNewer(nodes[1]!.config, createAppliedConfig(4)),
      false,
    );
    nodes[2]?.config.set(createAppliedConfig(6));
    await waitFor(
      "revision 6 is in force and reported",
      () =>
        nodes.every((node) =>
          node.entries.get().every((item) => item.configRevision === 6)
        ),
    );
    assert.equal([...seen], [6]);
  }));

test("a change of state is sent at once, not in the next round", () =>
  withNodes(2, async ([first, second]) => {
    const startedAtMs = performance.now();
    const changes = 20;
    for (let index = 0; index < changes; index++) {
      const stopping = index % 2 === 0;
      const seen = new Promise<void>((resolve) => {
        const unsubscribe = second!.entries.subscribe((digests) => {
          if (digests[0]?.stopping !== stopping) return;
          unsubscribe();
          resolve();
        });
      });
      first!.state.stopping = stopping;
      first!.peers.notifyChange();
      await seen;
    }
    // About 5 ms per change are expected; waiting for the next round would take up to 500 ms.
    assert.ok(performance.now() - startedAtMs < changes * 100);
  }));

// Guards against idle entries that build ten digests a second, and against a late
// report of the first load after an idle time.
test("an idle entry reads its load once per round, and at once when notified", () =>
  withNodes(2, async ([first, second]) => {
    const readsPerRound = async () => {
      const exchanges = () => first!.peers.status().links[0]!.exchanges;
      const from = {
        exchanges: exchanges(),
        reads: first!.state.loadReadCount,
      };
      await waitFor("4 rounds", () => exchanges() >= from.exchanges + 4);
      return (first!.state.loadReadCount - from.reads) / 4;
    };
    assert.ok(await readsPerRound() > 3);
    first!.state.idle = true;
    await waitFor("the last check", async () => await readsPerRound() < 3);
    const load = { inFlight: 9, waiting: 9, demandSlots: 9 };
    first!.state.load = { ...first!.state.load, services: { quoting: load } };
    first!.peers.notifyChange();
    await waitFor(
      "the load is known",
      () => second!.entries.get()[0]?.services.quoting?.inFlight === 9,
    );
  }));

test("all entries drop a lost peer and learn of a stopping one at once", () =>
  withNodes(4, async (nodes) => {
    const [lost, stopping, ...others] = nodes;
    stopping!.state.stopping = true;
    stopping!.peers.notifyChange();
    await waitFor(
      "all know that the peer is stopping",
      () =>
        others.every((node) =>
          node.entries.get().some((item) =>
            item.entryId === stopping?.entryId && item.stopping
          )
        ),
      { timeoutMs: 3_000 },
    );
    await lost?.stop();
    await waitFor(
      "the lost peer is dropped",
      () => others.every((node) => !listEntryIds(node).includes(lost!.entryId)),
    );
    assert.ok(others.every((node) => listEntryIds(node).length === 3));
  }));

test("a peer that resumes after its replacement is ignored and notified", () =>
  withNodes(3, async ([first, second, old], vmList) => {
    const replacement = await startPeerNode({
      entryId: old!.entryId,
      incarnation: "2",
      vmList,
    });
    try {
      const memberAt = (node: PeerNode | undefined) =>
        node?.peers.status().members.find((member) =>
          member.entryId === old!.entryId
        );
      await waitFor(
        "the replacement is known",
        () =>
          [first, second].every((node) => memberAt(node)?.incarnation === "2"),
      );
      await waitFor(
        "the old incarnation is notified",
        () => old!.state.superseded,
      );
      const sequence = memberAt(first)?.sequence ?? 0;
      await waitFor("digests of the replacement still arrive", () => {
        assert.is(memberAt(first)?.incarnation, "2");
        return (memberAt(first)?.sequence ?? 0) > sequence + 2;
      });
    } finally {
      await replacement.stop();
    }
  }));

test("an entry that isn't in the VM list yet joins through its own calls", () =>
  withNodes(2, async (nodes) => {
    const vms = nodes.map((node) => createNodeVm(node));
    const newcomer = await startPeerNode({
      entryId: "entry-9",
      vmList: createObservable<VmListSnapshot | undefined>({
        vms,
        readAtMs: 0,
      }),
    });
    try {
      await waitFor(
        "all know the newcomer",
        () =>
          [...nodes, newcomer].every((node) => listEntryIds(node).length === 3),
      );
    } finally {
      await newcomer.stop();
    }
  }));

// Guards against entries that forward keyed requests and job calls to their own
// port, because a peer advertises the wildcard address.
test("an entry that listens on all interfaces advertises its address in the VM list", () =>
  withNodes(1, async ([node], vmList) => {
    const peer = await startPeerNode({
      entryId: "entry-2",
      callerAddress: "0.0.0.0:80",
      vmList,
    });
    try {
      const address = "127.0.0.1:2";
      vmList.set({
        vms: [createNodeVm(node!), { ...createNodeVm(peer), address }],
        readAtMs: 1,
      });
      await waitFor(
        "the listed address is known",
        () => node!.entries.get()[1]?.callerAddress === address,
      );
    } finally {
      await peer.stop();
    }
  }));

test("the configuration spreads between regions, digests and fleet records don't", () =>
  withNodes(2, async (nodes, vmList) => {
    const remote = await startPeerNode({
      entryId: "remote-1",
      region: "other",
      vmList,
    });
    try {
      const vms = [
        ...nodes.map((node) => createNodeVm(node)),
        createNodeVm(remote, "other"),
      ];
      vmList.set({ vms, readAtMs: 1 });
      nodes[0]?.config.set(createAppliedConfig(3));
      nodes[0]?.fleet.set({ revision: 4 } as never);
      await waitFor(
        "the other region has it",
        () => remote.config.get()?.revision === 3,
      );
      remote.config.set(createAppliedConfig(8));
      await waitFor(
        "both regions have it",
        () => nodes.every((node) => node.config.get()?.revision === 8),
      );
      assert.is(remote.fleet.get(), undefined);
      assert.equal(listEntryIds(remote), ["remote-1"]);
      assert.equal(listEntryIds(nodes[0]!), ["entry-1", "entry-2"]);
    } finally {
      await remote.stop();
    }
  }));

// Guards against a region behind frozen links that delays the exchanges with the
// regions after it.
test("an unresponsive region doesn't delay the exchange with another", () =>
  withNodes(1, async ([node], vmList) => {
    const frozen = await listenOnLoopback(createServer(() => {}));
    const remote = await startPeerNode({
      entryId: "remote-1",
      region: "other",
      vmList,
    });
    const frozenVms = [1, 2, 3].map((index) => ({
      ...createNodeVm(remote, "frozen"),
      id: `frozen-${index}`,
      controlAddress: frozen.address,
    }));
    try {
      const vms = [
        createNodeVm(node!),
        ...frozenVms,
        createNodeVm(remote, "other"),
      ];
      vmList.set({ vms, readAtMs: 1 });
      const startedAtMs = performance.now();
      for (const revision of [3, 4, 5]) {
        node!.config.set(createAppliedConfig(revision));
        await waitFor(
          "the other region has it",
          () => remote.config.get()?.revision === revision,
        );
      }
      const timeMs = performance.now() - startedAtMs;
      // About 0.5 s is expected, 9 s if each exchange waits for the frozen region.
      assert.ok(timeMs < 5_000, `${timeMs} ms`);
    } finally {
      await remote.stop();
      await frozen.close();
    }
  }));

test.run();
