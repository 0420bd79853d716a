import { z } from "zod";

/** Schema of the limits of the VM that a process runs on. */
export const vmLimitsSchema = z.object({
  /** Memory that the process may use, in MB. */
  memoryMb: z.number().positive().default(350),
  /** File descriptors that the process may open. */
  fileDescriptors: z.number().positive().default(4_096),
});

/** Limits of the VM that a process runs on. */
export type VmLimits = z.output<typeof vmLimitsSchema>;

/** Limits for all callers' connections of a process together. */
export interface ConnectionLimits {
  /** Memory for connections, their requests and unread responses, in bytes. */
  readonly memoryBytes: number;
  readonly maximumConnections: number;
  /** Maximum number of connections that the process hasn't accepted yet. */
  readonly maximumUnaccepted: number;
  /** Maximum number of connections of other entries. */
  readonly maximumPeerConnections: number;
  /** Maximum number of connections whose caller has to send or read something. */
  readonly maximumWaiting: number;
}

/** Fraction of the memory that callers' connections may occupy; the rest is the program, its state and garbage. */
const MEMORY_FRACTION = 0.1;
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS_FOR_FILES = 200;
/** Fraction of the sockets for callers; the rest is for the store, peers, workers and readiness checks. */
const SOCKET_FRACTION = 0.5;

/** Fraction of the sockets for connections of other entries. */
const PEER_SOCKET_FRACTION = 0.25;
/** Fraction of the memory that may be bytes received on accepted connections that the process hasn't read yet. */
const UNREAD_FRACTION = 0.15;
/**
 * Fraction of the memory that may be bytes received on connections that the process
 * hasn't accepted yet. Node accepts one connection in each iteration of the event loop.
 */
const UNACCEPTED_FRACTION = 0.05;
/** Bytes that Linux receives on a connection before the process reads any, with the default `tcp_rmem`. */
const UNREAD_BYTES_PER_CONNECTION = 131_072;
/** Smallest maximum number of connections. */
const MINIMUM_CONNECTIONS = 16;

/** Returns the number of connections whose unread bytes fit into a part of the memory. */
function countUnreadConnections(memoryBytes: number): number {
  return Math.max(
    MINIMUM_CONNECTIONS,
    Math.floor(memoryBytes / UNREAD_BYTES_PER_CONNECTION),
  );
}

/** Returns the connection limits of a process on a VM. */
export function resolveConnectionLimits(vm: VmLimits): ConnectionLimits {
  const vmBytes = vm.memoryMb * 1_048_576;
  const sockets = vm.fileDescriptors - FILE_DESCRIPTORS_FOR_FILES;
  const maximumConnections = Math.max(
    MINIMUM_CONNECTIONS,
    Math.floor(sockets * SOCKET_FRACTION),
  );
  return {
    memoryBytes: Math.floor(vmBytes * MEMORY_FRACTION),
    maximumConnections,
    maximumPeerConnections: Math.max(
      MINIMUM_CONNECTIONS,
      Math.floor(sockets * PEER_SOCKET_FRACTION),
    ),
    maximumUnaccepted: countUnreadConnections(vmBytes * UNACCEPTED_FRACTION),
    maximumWaiting: Math.min(
      maximumConnections,
      countUnreadConnections(vmBytes * UNREAD_FRACTION),
    ),
  };
}
