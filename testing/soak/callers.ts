import { setTimeout as delay } from "node:timers/promises";
import { jobSpecSchema } from "../../src/scheduler/model.ts";
import { createRequestSender } from "./caller_requests.ts";
import { QUEUES } from "./deployment_config.ts";
import type { EntryProcesses } from "./entry_processes.ts";
import type { SoakPlatform } from "./soak_platform.ts";
import type { SoakRun, Target } from "./soak_run.ts";
import { UNKNOWN_KEY } from "./workspaces.ts";

/** Fraction of jobs with a task that ends its workers. */
const DEADLY_JOB_RATE = 0.02;

/** Fraction of submissions without an answer that are cancelled rather than sent again. */
const GIVE_UP_RATE = 0.25;

/** Callers that submit, cancel and read jobs and check the replies. */
export interface Callers {
  /** Submits and reads jobs until the run is stopping. */
  runTraffic(): Promise<void>;
  /** Reads an accepted job and checks its state; returns whether it has ended. */
  hasJobEnded(jobId: string): Promise<boolean>;
}

/** Creates the callers of a run, which send each request to a random entry. */
export function createCallers(
  { run, platform, processes }: {
    readonly run: SoakRun;
    readonly platform: SoakPlatform;
    readonly processes: EntryProcesses;
  },
): Callers {
  const { random, checker, reportViolation, outcomes } = run;
  const { workers, workspaces } = platform;
  const sendRequest = createRequestSender({ run, workspaces });
  let nextJobNumber = 1;

  /** Submits one job and retries with the same id while the outcome is unknown. */
  async function submitJob(): Promise<void> {
    const queue = QUEUES[random.nextInteger(QUEUES.length)]!;
    const jobId = (nextJobNumber++).toString(16).padStart(16, "0");
    const workspace = workspaces?.choose();
    const target = { host: queue.host, path: queue.prefix + jobId, workspace };
    if (workspace !== undefined) workspaces?.recordJob(jobId, workspace);
    const steps = Array.from(
      { length: 1 + random.nextInteger(3) },
      (_, index) => ({
        count: 1 + random.nextInteger(4),
        cpu: 500 + random.nextInteger(1_500),
        "mem-mb": 500,
        "estimated-ms": 80 + random.nextInteger(500),
        ...(index === 0 ? {} : { after: [index - 1] }),
      }),
    );
    checker.specs.set(
      jobId,
      jobSpecSchema.parse({
        jobId,
        queue: queue.name,
        service: queue.pool,
        maximumAttempts: 1_000,
        specification: jobId,
        acceptedAtMs: Date.now(),
        steps: steps.map((step) => ({
          taskCount: step.count,
          cpuMillis: step.cpu,
          memoryMb: step["mem-mb"],
          estimatedMs: step["estimated-ms"],
          after: step.after,
        })),
      }),
    );
    const body = { specification: jobId, steps };
    if (random.next() < DEADLY_JOB_RATE) {
      workers.faults.deadlyTasks.add(`${jobId}.0.0.0`);
      outcomes.deadlyJobIds.add(jobId);
    }
    let outcomeUnknown = false;
    for (let attempt = 0; attempt < 40 && !run.stopping; attempt++) {
      const reply = await sendRequest(processes.choose(), "POST", target, {
        body,
      });
      if (reply?.status === 200) {
        outcomes.targetsByJobId.set(jobId, target);
        if (random.next() < 0.1) await tryOtherKeys(target);
        if (random.next() < 0.1) await cancelJob(jobId, target);
        return;
      }
      // An entry may not have read the latest keys yet.
      if (workspace !== undefined && reply?.status === 401) {
        await delay(200);
        continue;
      }
      const isOverShare = workspace !== undefined && reply?.status === 429;
      if (reply !== undefined && (reply.status === 503 || isOverShare)) {
        outcomes.refusalCount++;
        if (reply.retryAfter === undefined) {
          reportViolation("RETRY", `${jobId} was refused without Retry-After`);
        }
        // A refusal is final unless an earlier attempt with unknown outcome may have been stored.
        if (!outcomeUnknown) {
          outcomes.refusedJobIds.add(jobId);
          return;
        }
      } else if (reply !== undefined && reply.status !== 504) {
        reportViolation(
          "STATUS",
          `${jobId} got unexpected status ${reply.status}`,
        );
      }
      outcomeUnknown = true;
      if (random.next() < GIVE_UP_RATE) return await giveUp(jobId, target);
      await delay(200);
    }
  }

  /** Cancels a job whose submission had no answer, until the cancellation gets a final one. */
  async function giveUp(jobId: string, target: Target): Promise<void> {
    for (let attempt = 0; attempt < 5 && !run.stopping; attempt++) {
      const reply = await sendRequest(processes.choose(), "DELETE", target);
      if (reply?.status === 200 || reply?.status === 410) {
        outcomes.cancelledAtMs.set(jobId, performance.now());
        return;
      }
      await delay(200);
    }
  }

  /** Tries to read a job with the key of another workspace and with one that no configuration ever held. */
  async function tryOtherKeys(target: Target): Promise<void> {
    if (workspaces === undefined || target.workspace === undefined) return;
    for (const key of [workspaces.foreignKey(target.workspace), UNKNOWN_KEY]) {
      const reply = await sendRequest(processes.choose(), "GET", target, {
        key,
      });
      if (reply?.status === 200) {
        reportViolation("KEY", `${target.path} is shown for ${key}`);
      }
    }
  }

  async function cancelJob(jobId: string, target: Target): Promise<void> {
    await delay(random.nextInteger(600));
    const reply = await sendRequest(processes.choose(), "DELETE", target);
    if (reply?.status === 200) {
      outcomes.cancelledAtMs.set(jobId, performance.now());
    }
  }

  async function hasJobEnded(jobId: string): Promise<boolean> {
    const target = outcomes.targetsByJobId.get(jobId)!;
    const reply = await sendRequest(processes.choose(), "GET", target);
    if (reply?.status === 410) {
      reportViolation("LOST", `${jobId} was accepted but is unknown`);
      return true;
    }
    if (reply?.status !== 200) return false;
    const { state } = JSON.parse(reply.text) as { state: string };
    if (state === "completed") {
      const spec = checker.specs.get(jobId)!;
      spec.steps.forEach((step, index) => {
        for (let task = 0; task < step.taskCount; task++) {
          const taskId = `${jobId}.0.${index}.${task}`;
          if (!checker.done.has(taskId)) {
            reportViolation(
              "INCOMPLETE",
              `${jobId} is shown as completed, but ${taskId} didn't finish`,
            );
          }
        }
      });
    } else if (state === "failed" && !outcomes.deadlyJobIds.has(jobId)) {
      reportViolation("LOST", `${jobId} is shown as failed`);
    }
    return state === "completed" || state === "cancelled" || state === "failed";
  }

  async function runTraffic(): Promise<void> {
    const { targetsByJobId } = outcomes;
    while (!run.stopping) {
      void submitJob();
      await delay(60 + random.nextInteger(120));
      if (targetsByJobId.size > 0 && random.next() < 0.3) {
        const ids = [...targetsByJobId.keys()];
        void hasJobEnded(ids[random.nextInteger(ids.length)]!);
      }
    }
  }

  return { runTraffic, hasJobEnded };
}
