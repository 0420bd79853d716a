import type { Vm } from "../src/platform/vm_list.ts";
import {
  createJsonServer,
  listenOnLoopback,
  type RunningServer,
} from "./http_json_server.ts";

/** The VM list's stand-in. */
export interface VmListServer extends RunningServer {
  readonly vms: Map<string, Vm>;
  /** The list that callers see lags by this time, in ms. */
  lagMs: number;
  down: boolean;
}

/** Starts a VM list stand-in. `PUT /v1/vms/<id>` adds or replaces a VM, `DELETE` removes it. */
export async function startVmListServer(port = 0): Promise<VmListServer> {
  const vms = new Map<string, Vm>();
  const history: { atMs: number; vms: Vm[] }[] = [{ atMs: 0, vms: [] }];
  const remember = () => {
    history.push({ atMs: Date.now(), vms: [...vms.values()] });
    if (history.length > 1_000) history.shift();
  };

  const server = createJsonServer((call) => {
    const id = decodeURIComponent(call.url.pathname.split("/")[3] ?? "");
    if (call.url.pathname === "/faults") {
      Object.assign(state, call.body);
      return { status: 200, body: {} };
    }
    if (call.method === "PUT") {
      vms.set(id, call.body as Vm);
      remember();
      return { status: 200, body: {} };
    }
    if (call.method === "DELETE") {
      vms.delete(id);
      remember();
      return { status: 200, body: {} };
    }
    if (state.down) return undefined;
    if (state.lagMs === 0) {
      return { status: 200, body: { vms: [...vms.values()] } };
    }
    const seenAtMs = Date.now() - state.lagMs;
    const seen = history.findLast((item) => item.atMs <= seenAtMs) ??
      history[0];
    return { status: 200, body: { vms: seen?.vms ?? [] } };
  });
  const state: VmListServer = Object.assign(
    await listenOnLoopback(server, port),
    {
      vms,
      lagMs: 0,
      down: false,
    },
  );
  return state;
}
