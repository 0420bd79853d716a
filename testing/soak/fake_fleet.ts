import type { WorkerRegistration } from "../../src/scheduler/ports.ts";
import type { FakeRecordStore } from "../fake_record_store.ts";
import type { FakeTaskWorkers } from "../fake_task_workers.ts";

/** Time from an accepted order for a VM until its next worker starts, in ms. */
const RESTART_MS = 700;

/** Pool whose VMs are switched off. */
export const SPARE_POOL = "spare";

/** A VM of the fake fleet. */
export interface FakeVm {
  readonly vmId: string;
  readonly rack: string;
  pool: string;
  state: "up" | "moving" | "upkeep" | "down";
  workerId: string;
  /** Highest fencing token of the orders that the VM has accepted. */
  fencingToken: number;
  readonly maintainedWaves: Set<number>;
}

/** Result of an order for a VM; `fence` means that its fencing token is outdated, `busy` that the VM is unknown or not up. */
export type VmOrderResult = "done" | "fence" | "busy";

/** In-memory fleet of VMs. Each move, maintenance or crash of a VM replaces its worker; only `restartWorker` keeps the worker's ID. */
export class FakeFleet {
  /** Ids of VMs whose entry in the VM list can't be read. */
  readonly unreadableVms = new Set<string>();
  readonly vms = new Map<string, FakeVm>();
  /** Shared address of all workers. */
  workerAddress = "";
  #nextWorker = 1;
  #closed = false;

  constructor(
    readonly store: FakeRecordStore,
    readonly workers: FakeTaskWorkers,
  ) {
    workers.onCrash = ({ registration }) => {
      const vm = this.vms.get(registration.vmId);
      if (vm?.workerId === registration.workerId) this.crash(vm, RESTART_MS);
    };
  }

  /** Adds a VM to a pool and, except in the spare pool, starts its worker. */
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

  /** Prevents pending restarts from starting workers. */
  close(): void {
    this.#closed = true;
  }

  #startWorker(vm: FakeVm, earlierId?: string): void {
    if (this.#closed) return;
    vm.state = "up";
    // VMs in the spare pool have no worker.
    if (vm.pool === SPARE_POOL) return;
    vm.workerId = earlierId ?? `worker-${this.#nextWorker++}`;
    const registration: WorkerRegistration = {
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
    this.workers.add(
      registration,
      earlierId === undefined ? undefined : -performance.now(),
    );
    this.#writeRegistration(registration);
  }

  #writeRegistration(registration: WorkerRegistration): void {
    this.store.write(
      `servers/${registration.workerId}`,
      JSON.stringify({
        service: registration.service,
        address: registration.address,
        zone: registration.dataCentre,
        state: "ready",
        born: registration.bornAtMs,
        machine: registration.vmId,
        capacity: {
          cpu: registration.capacity.cpuMillis,
          "mem-mb": registration.capacity.memoryMb,
        },
        labels: registration.labels,
      }),
    );
  }

  /** Changes the CPU capacity of a running worker, in thousandths of a core. */
  resize(vm: FakeVm, cpuMillis: number): void {
    const worker = this.workers.workers.get(vm.workerId);
    if (worker === undefined || !worker.alive) return;
    worker.resize({ ...worker.registration.capacity, cpuMillis });
    this.#writeRegistration(worker.registration);
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

  /** Kills the worker of a VM without notice and starts another one after `downMs`. */
  crash(vm: FakeVm, downMs: number): void {
    if (vm.state !== "up") return;
    this.#endWorker(vm);
    vm.state = "down";
    setTimeout(() => this.#startWorker(vm), downMs).unref();
  }

  /**
   * Kills the worker of a VM and starts its next process under the same ID after
   * `downMs`, with a clock that starts at 0. Its registration stays meanwhile.
   */
  restartWorker(vm: FakeVm, downMs: number, onStart: () => void): void {
    const worker = this.workers.workers.get(vm.workerId);
    if (vm.state !== "up" || worker === undefined) return;
    const { workerId } = vm;
    vm.state = "down";
    vm.workerId = "";
    this.workers.crash(worker);
    setTimeout(() => {
      this.#startWorker(vm, workerId);
      onStart();
    }, downMs).unref();
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

  /** Moves a VM to another pool. */
  move(vmId: string, pool: string, fencingToken: number): VmOrderResult {
    return this.#order(vmId, fencingToken, (vm) => {
      if (vm.pool === pool) return;
      vm.pool = pool;
      this.#restart(vm, "moving");
    });
  }

  /** Maintains a VM, at most once per wave. */
  maintain(vmId: string, wave: number, fencingToken: number): VmOrderResult {
    return this.#order(vmId, fencingToken, (vm) => {
      if (vm.maintainedWaves.has(wave)) return;
      vm.maintainedWaves.add(wave);
      this.#restart(vm, "upkeep");
    });
  }

  /** Returns the VM list in its wire format; entries of `unreadableVms` lack their capacity. */
  listVms() {
    return [...this.vms.values()].map((vm) => ({
      machine: vm.vmId,
      pool: vm.pool,
      state: vm.state,
      zone: "dc-1",
      labels: ["plain", vm.rack],
      ...(this.unreadableVms.has(vm.vmId)
        ? {}
        : { capacity: { cpu: 8_000, "mem-mb": 16_000 } }),
      id: vm.workerId,
    }));
  }
}
