import { z } from "zod";

/** One VM as the platform lists it. */
export const vmSchema = z.object({
  id: z.string().min(1),
  role: z.enum(["entry", "worker"]),
  state: z.enum(["live", "leaving"]),
  /** Changes when the VM is replaced under the same id. */
  incarnation: z.string(),
  region: z.string(),
  dataCentre: z.string(),
  rack: z.string(),
  /** `host:port` of the backend server, or of the callers' port of an entry. */
  address: z.string(),
  /** `host:port` of the peer link of an entry, or of the agent of a worker. */
  controlAddress: z.string(),
  /** `host:port` of the admin server of an entry. */
  adminAddress: z.string().optional(),
  /** Pool that the platform created the VM for. */
  pool: z.string().optional(),
  cores: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().int().nonnegative(),
});

/** One VM as the platform lists it. */
export type Vm = z.infer<typeof vmSchema>;

/** The platform's lagging list of live and leaving VMs. */
export interface VmList {
  /** Rejects with a `PlatformError`. */
  list(signal?: AbortSignal): Promise<readonly Vm[]>;
}
