import { z } from "zod";

/** Schema of the limits of the VM that a process runs on. */
export const vmLimitsSchema = z.object({
  /** Memory that the process may use, in MB. */
  memoryMb: z.number().int().min(128).default(350),
  /** File descriptors that the process may open. */
  fileDescriptors: z.number().int().min(256).default(4_096),
});

/** Limits of the VM that a process runs on. */
export type VmLimits = z.output<typeof vmLimitsSchema>;

/** Limits for all callers' connections of a process together. */
export interface ConnectionLimits {
  /** Memory for connections, their requests and unread responses, in bytes. */
  readonly memoryBytes: number;
  readonly maximumConnections: number;
}

/** Fraction of the memory that callers' connections may occupy; the rest is the program, its state and garbage. */
const MEMORY_FRACTION = 0.1;
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS_FOR_FILES = 200;
/** Fraction of the sockets for callers; the rest is for the store, peers, workers and readiness checks. */
const SOCKET_FRACTION = 0.5;

/** Returns the connection limits of a process on a VM. */
export function resolveConnectionLimits(vm: VmLimits): ConnectionLimits {
  return {
    memoryBytes: Math.floor(vm.memoryMb * 1_048_576 * MEMORY_FRACTION),
    maximumConnections: Math.floor(
      (vm.fileDescriptors - FILE_DESCRIPTORS_FOR_FILES) * SOCKET_FRACTION,
    ),
  };
}
