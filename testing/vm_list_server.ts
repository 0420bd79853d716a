import type { Vm } from "../src/ports/vm_list.ts";
import {
  createJsonServer,
  listenOnLoopback,
  type RunningServer,
} from "./http_json_server.ts";

/** A fake VM list server. */
export interface VmListServer extends RunningServer {
  /** Listed VMs by id; tests may change them while the server runs. */
  readonly vms: Map<string, Vm>;
  /** Age of the list that clients receive, in ms. */
  lagMs: number;
  /** Closes the connection of every list request without a response. */
  down: boolean;
}

/** Maximum number of past versions of the list, from which lagging responses are served. */
const MAXIMUM_HISTORY_LENGTH = 10_000;

/** A map that reports each change, so that `lagMs` also delays changes that a test makes directly. */
class ObservedMap<T> extends Map<string, T> {
  readonly #onChange: () => void;

  constructor(onChange: () => void) {
    super();
    this.#onChange = onChange;
  }

  override set(key: string, value: T): this {
    super.set(key, value);
    this.#onChange();
    return this;
  }

  override delete(key: string): boolean {
    const found = super.delete(key);
    this.#onChange();
    return found;
  }
}

/** Starts a fake VM list server. `PUT /v1/vms/<id>` adds or replaces a VM, `DELETE` removes it. */
export async function startVmListServer(port = 0): Promise<VmListServer> {
  const history: { atMs: number; vms: Vm[] }[] = [{ atMs: 0, vms: [] }];
  const vms = new ObservedMap<Vm>(() => {
    history.push({ atMs: Date.now(), vms: [...vms.values()] });
    if (history.length > MAXIMUM_HISTORY_LENGTH) history.shift();
  });

  const server = createJsonServer((call) => {
    const id = decodeURIComponent(call.url.pathname.split("/")[3] ?? "");
    if (call.url.pathname === "/faults") {
      Object.assign(runningServer, call.body);
      return { status: 200, body: {} };
    }
    if (call.method === "PUT") {
      vms.set(id, call.body as Vm);
      return { status: 200, body: {} };
    }
    if (call.method === "DELETE") {
      vms.delete(id);
      return { status: 200, body: {} };
    }
    if (runningServer.down) return undefined;
    if (runningServer.lagMs === 0) {
      return { status: 200, body: { vms: [...vms.values()] } };
    }
    const visibleAtMs = Date.now() - runningServer.lagMs;
    const visible = history.findLast((item) => item.atMs <= visibleAtMs) ??
      history[0];
    return { status: 200, body: { vms: visible?.vms ?? [] } };
  });
  const runningServer: VmListServer = Object.assign(
    await listenOnLoopback(server, port),
    {
      vms,
      lagMs: 0,
      down: false,
    },
  );
  return runningServer;
}
