import {
  DEADLINE_HEADER,
  REQUEST_ID_HEADER,
  SYSTEM_PATH_PREFIX,
} from "../constants.ts";
import { parseSubmission } from "./model.ts";
import type { JobProtocol } from "./job_api.ts";

/** Path prefix of the queues on the callers' port. */
const QUEUES_PATH = `${SYSTEM_PATH_PREFIX}queues/`;

/** The native JSON API for jobs: `/.cowslipferry/queues/QUEUE/jobs/ID`. */
export const nativeJobProtocol: JobProtocol = {
  findTarget(request, config) {
    const path = (request.url ?? "").split("?")[0]!;
    if (!path.startsWith(QUEUES_PATH)) return undefined;
    const [name, jobs, jobId, ...rest] = path.slice(QUEUES_PATH.length)
      .split("/");
    const queue = config.queues.find((candidate) => candidate.name === name);
    if (queue === undefined || jobs !== "jobs" || rest.length > 0) {
      return undefined;
    }
    return { queue, jobId: jobId ?? "" };
  },
  apiKey: ({ headers }) => String(headers["api-key"] ?? ""),
  requestId: ({ headers }) => String(headers[REQUEST_ID_HEADER] ?? ""),
  deadlineMs({ headers }) {
    const deadlineMs = Number(headers[DEADLINE_HEADER]);
    return deadlineMs > 0 ? deadlineMs : undefined;
  },
  decodeJob: parseSubmission,
  encodeStatus: (status) => ({ status }),
  encodeFailure: (failureReason) => ({ status: "failed", failureReason }),
  encodeWaiting: (jobs) => ({ waitingJobs: jobs }),
};
