import { z } from "zod";

const serviceLoadSchema = z.object({
  /** Number of requests that backend servers are running. */
  inFlight: z.number(),
  /** Number of requests in the admission queue. */
  waiting: z.number(),
  /** Smoothed number of slots that the entry's callers demand. */
  demandSlots: z.number(),
});

/** Load of one service on one entry. */
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;

/** Schema of the state that an entry publishes to its peers by gossip. */
export const entryDigestSchema = z.object({
  entryId: z.string(),
  /** New for each start of the process. */
  incarnation: z.string(),
  /** Grows with each digest of the same incarnation. */
  sequence: z.number().int(),
  region: z.string(),
  /** `host:port` of the peer server. */
  peerAddress: z.string(),
  /** `host:port` of the port for callers. */
  callerAddress: z.string(),
  ready: z.boolean(),
  /** Whether the graceful shutdown has started. */
  stopping: z.boolean(),
  configRevision: z.number().int(),
  fleetRevision: z.number().int(),
  services: z.record(z.string(), serviceLoadSchema),
  /** Number of requests in flight by id of each VM that gets no new work. */
  drainingInFlight: z.record(z.string(), z.number()),
  /** Ids of VMs whose backend servers announced to this entry that they are leaving. */
  leavingVms: z.array(z.string()),
});

/** State that an entry publishes to its peers by gossip. */
export type EntryDigest = z.infer<typeof entryDigestSchema>;
