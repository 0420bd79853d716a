import { readdirSync, readFileSync } from "node:fs";

/** Highest usage of a process so far. */
export interface UsagePeak {
  /** Resident memory and the bytes that its connections have received and not read, in bytes. */
  memoryBytes: number;
  /** The unread bytes alone. */
  unreadBytes: number;
  descriptors: number;
}

/** Observer of a process. */
export interface UsageMonitor {
  readonly peak: Readonly<UsagePeak>;
  stop(): void;
}

const SAMPLE_INTERVAL_MS = 50;
/** State of an established connection in `/proc/net/tcp`. */
const ESTABLISHED = "01";

function readResidentBytes(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, "utf8");
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * 1_024;
}

/** Returns the bytes that the connections of a local port have received and its process hasn't read. */
function readUnreadBytes(port: number): number {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, "0")}`;
  let unreadBytes = 0;
  for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n")) {
    const [, local, , state, queues] = line.trim().split(/\s+/);
    if (state !== ESTABLISHED || !local?.endsWith(suffix)) continue;
    unreadBytes += Number.parseInt(queues!.split(":")[1]!, 16);
  }
  return unreadBytes;
}

/** Starts to sample the usage of a process that listens on a port of the loopback interface. */
export function monitorUsage(
  { processId, port }: { readonly processId: number; readonly port: number },
): UsageMonitor {
  const peak: UsagePeak = { memoryBytes: 0, unreadBytes: 0, descriptors: 0 };
  function sample(): void {
    try {
      const unreadBytes = readUnreadBytes(port);
      peak.unreadBytes = Math.max(peak.unreadBytes, unreadBytes);
      peak.memoryBytes = Math.max(
        peak.memoryBytes,
        readResidentBytes(processId) + unreadBytes,
      );
      peak.descriptors = Math.max(
        peak.descriptors,
        readdirSync(`/proc/${processId}/fd`).length,
      );
    } catch {
      // The process has ended, which the test notices by itself.
    }
  }
  sample();
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  return {
    peak,
    stop() {
      sample();
      clearInterval(timer);
    },
  };
}
