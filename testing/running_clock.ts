import { performance } from "node:perf_hooks";
import process from "node:process";
import { type Clock, systemClock } from "../src/clock.ts";

/**
 * Creates a clock whose monotonic time stands still while this process has work
 * to do but the machine runs other processes. It advances while the process
 * waits for timers or I/O, so a needless wait is measured in full.
 */
export function createRunningClock(): Clock {
  const loopAtStart = performance.eventLoopUtilization();
  const cpuAtStart = process.cpuUsage();
  return {
    wallMs: systemClock.wallMs,
    monotonicMs() {
      const { idle } = performance.eventLoopUtilization(loopAtStart);
      const { user, system } = process.cpuUsage(cpuAtStart);
      return idle + (user + system) / 1_000;
    },
  };
}
