import type { Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  createJsonServer,
  type JsonReply,
  listenOnLoopback,
} from "../../testing/http_json_server.ts";
import { startVmListServer } from "../../testing/vm_list_server.ts";
import { PlatformError } from "../errors.ts";
import { createHttpVmList } from "./http_vm_list.ts";
import type { Vm } from "./vm_list.ts";

const test = suite("vm list");

function createVm(id: string): Vm {
  return {
    id,
    role: "worker",
    state: "live",
    incarnation: "1",
    region: "north",
    dataCentre: "north-1",
    rack: "north-1-1",
    address: "127.0.0.1:1",
    controlAddress: "127.0.0.1:2",
    cores: 16,
    memoryMb: 65_536,
    accelerators: 0,
  };
}

test("returns the listed VMs and follows changes", async () => {
  const server = await startVmListServer();
  try {
    const list = createHttpVmList(`http://${server.address}`);
    assert.equal(await list.list(), []);
    server.vms.set("a", createVm("a"));
    assert.equal((await list.list()).map((vm) => vm.id), ["a"]);
    server.vms.set("a", { ...createVm("a"), state: "leaving" });
    assert.is((await list.list())[0]?.state, "leaving");
  } finally {
    await server.close();
  }
});

// Guards against polls that transfer an unchanged list again. At 1,400 workers the
// list has 330 KB and is polled every second.
test("an unchanged list is not transferred again", async () => {
  const server = await startVmListServer();
  const sockets: Socket[] = [];
  server.server.on("connection", (socket) => sockets.push(socket));
  const sentBytes = () =>
    sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0);
  try {
    for (let index = 0; index < 200; index++) {
      server.vms.set(`vm-${index}`, createVm(`vm-${index}`));
    }
    const list = createHttpVmList(`http://${server.address}`);
    const first = await list.list();
    const firstBytes = sentBytes();
    assert.ok(firstBytes > 20_000);
    assert.is(await list.list(), first);
    assert.ok(sentBytes() - firstBytes < 1_000);
  } finally {
    await server.close();
  }
});

const FAILURE_REPLIES: Record<string, JsonReply | undefined> = {
  "a connection closed without a response": undefined,
  "a server error": { status: 500, body: {} },
  "a missing list": { status: 404, body: {} },
  "a 304 without If-None-Match": { status: 304 },
  "a list that doesn't match the schema": {
    status: 200,
    body: { vms: [{ id: "a" }] },
  },
};

for (const [name, reply] of Object.entries(FAILURE_REPLIES)) {
  test(`${name} is reported as a PlatformError`, async () => {
    const server = await listenOnLoopback(createJsonServer(() => reply));
    try {
      await createHttpVmList(`http://${server.address}`).list();
      assert.unreachable("the call must fail");
    } catch (error) {
      assert.instance(error, PlatformError);
    } finally {
      await server.close();
    }
  });
}

test.run();
