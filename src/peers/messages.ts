import { z } from "zod";

const serviceLoadSchema = z.object({
  /** Requests being run by backend servers. */
  inFlight: z.number(),
  /** Requests in the admission queue. */
  waiting: z.number(),
  /** Smoothed number of slots that the entry's callers ask for. */
  demandSlots: z.number(),
});

/** Load of one service on one entry. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;

/** What an entry tells its peers about itself. */
export const entryDigestSchema = z.object({
  entryId: z.string(),
  /** New for each start of the process. */
  incarnation: z.string(),
  /** Grows with each digest of an incarnation. */
  sequence: z.number().int(),
  region: z.string(),
  /** `host:port` of the peer link. */
  peerAddress: z.string(),
  /** `host:port` of the callers' port. */
  callerAddress: z.string(),
  ready: z.boolean(),
  /** True once the process has begun its graceful shutdown. */
  stopping: z.boolean(),
  configRevision: z.number().int(),
  fleetRevision: z.number().int(),
  services: z.record(z.string(), serviceLoadSchema),
  /** Requests in flight for each VM that takes no new work. */
  drainingInFlight: z.record(z.string(), z.number()),
  /** VMs that told this entry that they are leaving. */
  leavingVms: z.array(z.string()),
});

/** What an entry tells its peers about itself. */
export type EntryDigest = z.infer<typeof entryDigestSchema>;
