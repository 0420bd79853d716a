import type { WorkerRegistration } from "../../src/scheduler/ports.ts";
import type { FakeRecordStore } from "../fake_record_store.ts";
import type { FakeTaskWorkers } from "../fake_task_workers.ts";

/** Time from an order for a VM to its next worker, in ms. */
const RESTART_MS = 700;

/** Pool whose VMs are off. */
export const SPARE_POOL = "spare";

interface FakeVm {
  readonly vmId: string;
  readonly rack: string;
  pool: string;
  state: "up" | "moving" | "upkeep" | "down";
  workerId: string;
  /** Highest fencing token of an order for the VM. */
  fencingToken: number;
  readonly maintainedWaves: Set<number>;
}

/** Answer to an order for a VM. */
export type VmOrderResult = "done" | "fence" | "busy";

/** VMs with their workers, which change with each move, maintenance and crash. */
export class FakeFleet {
  readonly vms = new Map<string, FakeVm>();
  /** Address at which all workers are reached. */
  workerAddress = "";
  #nextWorker = 1;
  #closed = false;

  constructor(
    readonly store: FakeRecordStore,
    readonly workers: FakeTaskWorkers,
  ) {}

  add(pool: string): void {
    const index = this.vms.size;
    const vm: FakeVm = {
      vmId: `vm-${index}`,
      rack: `rack-${index % 3}`,
      pool,
      state: "up",
      workerId: "",
      fencingToken: 0,
      maintainedWaves: new Set(),
    };
    this.vms.set(vm.vmId, vm);
    this.#startWorker(vm);
  }

  close(): void {
    this.#closed = true;
  }

  #startWorker(vm: FakeVm): void {
    if (this.#closed) return;
    vm.state = "up";
    // VMs of the spare pool are off.
    if (vm.pool === SPARE_POOL) return;
    vm.workerId = `worker-${this.#nextWorker++}`;
    const entry: WorkerRegistration = {
      workerId: vm.workerId,
      vmId: vm.vmId,
      service: vm.pool,
      address: this.workerAddress,
      dataCentre: "dc-1",
      state: "ready",
      capacity: { cpuMillis: 8_000, memoryMb: 16_000, gpuCount: 0 },
      labels: ["plain", vm.rack],
      rack: vm.rack,
      bornAtMs: Date.now(),
      remainingMs: undefined,
    };
    this.workers.add(entry);
    this.store.write(
      `servers/${entry.workerId}`,
      JSON.stringify({
        service: entry.service,
        address: entry.address,
        zone: entry.dataCentre,
        state: "ready",
        born: entry.bornAtMs,
        machine: vm.vmId,
        capacity: { cpu: 8_000, "mem-mb": 16_000 },
        labels: entry.labels,
      }),
    );
  }

  #endWorker(vm: FakeVm): void {
    const worker = this.workers.workers.get(vm.workerId);
    if (worker !== undefined) {
      worker.alive = false;
      worker.running.clear();
    }
    this.store.remove(`servers/${vm.workerId}`);
    vm.workerId = "";
  }

  /** Ends what runs on a VM without notice; another worker starts on it later. */
  crash(vm: FakeVm, downMs: number): void {
    if (vm.state !== "up") return;
    this.#endWorker(vm);
    vm.state = "down";
    setTimeout(() => this.#startWorker(vm), downMs).unref();
  }

  #order(
    vmId: string,
    fencingToken: number,
    run: (vm: FakeVm) => void,
  ): VmOrderResult {
    const vm = this.vms.get(vmId);
    if (vm === undefined || vm.state !== "up") return "busy";
    if (fencingToken < vm.fencingToken) return "fence";
    vm.fencingToken = fencingToken;
    run(vm);
    return "done";
  }

  #restart(vm: FakeVm, state: FakeVm["state"]): void {
    this.#endWorker(vm);
    vm.state = state;
    setTimeout(() => this.#startWorker(vm), RESTART_MS).unref();
  }

  move(vmId: string, pool: string, fencingToken: number): VmOrderResult {
    return this.#order(vmId, fencingToken, (vm) => {
      if (vm.pool === pool) return;
      vm.pool = pool;
      this.#restart(vm, "moving");
    });
  }

  maintain(vmId: string, wave: number, fencingToken: number): VmOrderResult {
    return this.#order(vmId, fencingToken, (vm) => {
      if (vm.maintainedWaves.has(wave)) return;
      vm.maintainedWaves.add(wave);
      this.#restart(vm, "upkeep");
    });
  }

  /** The VM list on the wire. */
  listVms() {
    return [...this.vms.values()].map((vm) => ({
      machine: vm.vmId,
      pool: vm.pool,
      state: vm.state,
      zone: "dc-1",
      labels: ["plain", vm.rack],
      capacity: { cpu: 8_000, "mem-mb": 16_000 },
      id: vm.workerId,
    }));
  }
}
