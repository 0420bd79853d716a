import { z } from "zod";

/** Schema of a VM in the platform's VM list. */
export const vmSchema = z.object({
  id: z.string().min(1),
  role: z.enum(["entry", "worker"]),
  state: z.enum(["live", "leaving"]),
  /** Changes when the VM is replaced by another one with the same id. */
  incarnation: z.string(),
  region: z.string(),
  dataCentre: z.string(),
  rack: z.string(),
  /** `host:port` of a worker's backend server or of an entry's port for callers. */
  address: z.string(),
  /** `host:port` of an entry's peer server or of a worker's agent. */
  controlAddress: z.string(),
  /** `host:port` of an entry's admin server. */
  adminAddress: z.string().optional(),
  /** Pool for which the platform created the VM. */
  pool: z.string().optional(),
  cores: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().int().nonnegative(),
});

/** A VM in the platform's VM list. */
export type Vm = z.infer<typeof vmSchema>;

/** The platform's list of live and leaving VMs; it may lag behind the actual state. */
export interface VmList {
  /** Rejects with a `PlatformError`. */
  list(signal?: AbortSignal): Promise<readonly Vm[]>;
}
