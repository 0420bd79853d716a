import type { ResolvedConfig } from "../../src/config/schema.ts";
import { issueJobKey } from "../../src/jobs/job_key.ts";
import type { JobSpec, Size } from "../../src/jobs/job.ts";
import { addSize, fits, ZERO_SIZE } from "../../src/jobs/size.ts";
import type { JobSimulation } from "../../testing/job_simulation.ts";
import type { CountingStore } from "./counting_store.ts";

/** Maximum number of runs of an idempotent job. */
const MAXIMUM_ATTEMPTS = 3;
const LEASE_DURATION_MS = 86_400_000;

interface QueuedJob {
  readonly jobId: string;
  readonly spec: JobSpec;
  attempts: number;
}

interface RunningJob extends QueuedJob {
  readonly vmId: string;
  readonly taskId: string;
}

/**
 * Baseline scheduler: first come, first served, on the first worker with enough free capacity for the
 * declared size. Each change of a job is one store write.
 */
export class FirstFitScheduler {
  /** Simulated time at which each ended job ended, by job id. */
  readonly endedAtMs = new Map<string, number>();
  #queue: QueuedJob[] = [];
  #running: RunningJob[] = [];
  #simulation: JobSimulation;
  #store: CountingStore;
  #quotas: Map<string, Size>;

  constructor(
    simulation: JobSimulation,
    store: CountingStore,
    config: ResolvedConfig,
  ) {
    this.#simulation = simulation;
    this.#store = store;
    this.#quotas = new Map(config.teams.map(({ name, quota }) => [name, {
      cores: quota.cores ?? Infinity,
      memoryMb: quota.memoryMb ?? Infinity,
      accelerators: quota.accelerators ?? Infinity,
    }]));
  }

  /** Queues a job and returns its id. */
  submit(spec: JobSpec): string {
    const jobId = issueJobKey(this.#simulation.nowMs).key;
    this.#store.writes++;
    this.#queue.push({ jobId, spec, attempts: 0 });
    return jobId;
  }

  /** Processes the reports of ended tasks and starts all queued jobs that fit. */
  async step(): Promise<void> {
    this.#processReports();
    const free = new Map<string, Size>();
    const usage = new Map<string, Size>();
    for (const { vm } of this.#simulation.workers.values()) free.set(vm.id, vm);
    for (const { vmId, spec } of this.#running) {
      free.set(vmId, addSize(free.get(vmId)!, spec, -1));
      usage.set(spec.team, addSize(usage.get(spec.team) ?? ZERO_SIZE, spec));
    }
    const waiting: QueuedJob[] = [];
    for (const job of this.#queue) {
      const { spec } = job;
      const requested = addSize(usage.get(spec.team) ?? ZERO_SIZE, spec);
      const worker = fits(requested, this.#quotas.get(spec.team)!)
        ? [...this.#simulation.workers.values()].find(({ vm }) =>
          vm.pool === spec.pool && fits(spec, free.get(vm.id)!)
        )
        : undefined;
      if (worker === undefined) {
        waiting.push(job);
        continue;
      }
      const vmId = worker.vm.id;
      free.set(vmId, addSize(free.get(vmId)!, spec, -1));
      usage.set(spec.team, requested);
      await this.#start(job, vmId);
    }
    this.#queue = waiting;
  }

  async #start(job: QueuedJob, vmId: string): Promise<void> {
    const { jobId, spec } = job;
    const attempts = job.attempts + 1;
    const { cores, memoryMb, accelerators } = spec;
    const taskId = [
      ...[jobId, attempts, spec.team, spec.jobClass, spec.priority],
      ...[cores, memoryMb, accelerators],
    ].join("~");
    this.#store.writes++;
    await this.#simulation.agent.runTask(vmId, {
      taskId,
      fencingToken: 1,
      incarnation: this.#simulation.workers.get(vmId)!.vm.incarnation,
      command: spec.command,
      cores,
      memoryMb,
      accelerators,
      leaseMs: LEASE_DURATION_MS,
    });
    this.#running.push({ jobId, spec, attempts, vmId, taskId });
  }

  /** Processes the workers' reports: ends or retries the jobs whose tasks have ended. */
  #processReports(): void {
    this.#running = this.#running.filter((job) => {
      const worker = this.#simulation.workers.get(job.vmId)!;
      const state = worker.reports[0]?.tasks.find(({ taskId }) =>
        taskId === job.taskId
      )?.state;
      if (state !== "succeeded" && state !== "failed") return true;
      this.#store.writes++;
      const shouldRetry = state === "failed" && job.spec.idempotent &&
        job.attempts < MAXIMUM_ATTEMPTS;
      if (shouldRetry) this.#queue.push({ ...job });
      else this.endedAtMs.set(job.jobId, this.#simulation.nowMs);
      return false;
    });
  }
}
