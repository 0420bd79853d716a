// Stand-in of the platform's API of machines, with a fencing token a machine.
import { serveJson } from "./http.mjs";

const MIGRATION_MS = 1_500;
const UPKEEP_MS = 2_000;

export class Cloud {
  machines = new Map();
  /** Calls that the platform has carried out, and when. */
  done = [];
  /** Decides the fate of an order: a time in ms after which it is carried out without an answer, or undefined. */
  holdBack = () => undefined;

  constructor(log) {
    this.log = log;
  }
  add({ machine, pool, place, zone, rack, cpu }) {
    this.machines.set(machine, {
      machine,
      pool,
      place,
      zone,
      rack,
      cpu,
      state: "up",
      fence: 0,
      wave: undefined,
      done: new Set(),
    });
  }
  #list() {
    return [...this.machines.values()].map((m) => ({
      machine: m.machine,
      pool: m.pool,
      state: m.state === "up" && m.place.life === undefined ? "down" : m.state,
      zone: m.zone,
      labels: ["a", m.rack],
      capacity: { cpu: m.cpu, "mem-mb": 65_536, gpu: 0 },
      id: m.place.id,
    }));
  }
  #order(kind, body, fence, holder) {
    const m = this.machines.get(body.machine);
    if (m === undefined) return { status: 400 };
    if (fence < m.fence) return { status: 409, body: { reason: "fence" } };
    m.fence = fence;
    if (kind === "move" ? m.pool === body.pool : m.done.has(body.wave)) {
      return { status: 200 };
    }
    if (m.state !== "up" || m.place.life === undefined) {
      return { status: 409, body: { reason: "busy" } };
    }
    const from = performance.now();
    m.state = kind === "move" ? "moving" : "upkeep";
    if (kind === "move") m.pool = body.pool;
    else m.done.add(body.wave);
    this.done.push({
      kind,
      machine: m.machine,
      holder,
      fence,
      wave: body.wave,
      atMs: from,
    });
    this.log(
      `platform: ${kind} of ${m.machine} begins, ordered by ${holder}, fence ${fence}`,
    );
    m.place.crash();
    this.store.write(`servers/${m.place.id}`, undefined);
    setTimeout(() => {
      if (this.closed) return;
      m.place.id = `${
        m.place.id.split("~")[0]
      }~${this.done.length}${m.machine}`;
      m.place.service = m.pool;
      m.state = "up";
      m.place.start();
      this.log(`platform: ${m.machine} is back as ${m.place.id}`);
    }, kind === "move" ? MIGRATION_MS : UPKEEP_MS);
    return { status: 200 };
  }
  async start(store) {
    this.store = store;
    this.server = await serveJson(async ({ url, headers, body }) => {
      if (url.pathname === "/api/machines") {
        return {
          status: 200,
          body: { machines: this.#list(), "next-page-token": "" },
        };
      }
      const kind = url.pathname === "/api/machine-move" ? "move" : "upkeep";
      const holder = headers["cowslipferry-duty-holder"];
      const fence = Number(headers["cowslipferry-fencing-token"]);
      const heldMs = this.holdBack(kind, body, holder);
      if (heldMs === undefined) return this.#order(kind, body, fence, holder);
      this.log(
        `platform: ${kind} of ${body.machine} from ${holder} gets no answer and is carried out in ${heldMs} ms`,
      );
      setTimeout(() => {
        if (!this.closed) {
          const { status, body: reply } = this.#order(
            kind,
            body,
            fence,
            holder,
          );
          this.log(
            `platform: the late ${kind} of ${body.machine} from ${holder}: ${status} ${
              reply?.reason ?? ""
            }`,
          );
        }
      }, heldMs);
      return undefined;
    });
    return this.server.address;
  }
  close() {
    this.closed = true;
    this.server.close();
  }
}
