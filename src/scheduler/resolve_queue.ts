import type { JobSpec } from "./model.ts";
import type { QueueConfig, SchedulerConfig } from "./ports.ts";

/** Returns the configuration of a job's queue; if the queue was removed, one with the service, attempts and need of advice recorded when the job was accepted. */
export function resolveQueue(
  config: SchedulerConfig | undefined,
  job: Pick<
    JobSpec,
    "queue" | "service" | "maximumAttempts" | "needsAdvice"
  >,
): QueueConfig {
  return config?.queues.find(({ name }) => name === job.queue) ?? {
    name: job.queue,
    host: "",
    pathPrefix: "",
    service: job.service,
    priority: 0,
    maximumAttempts: job.maximumAttempts,
    stretch: 2,
    targetDurationMs: 1_000,
    needsAdvice: job.needsAdvice,
  };
}
