import { EntryCallError, type EntryClient } from "./entry_client.ts";
import type { OwnerApi } from "./tenure_runner.ts";

/** Creates the client that an owner's entry uses for itself; `api` returns undefined while it isn't the owner. */
export function createLocalClient(
  api: () => OwnerApi | undefined,
): EntryClient {
  function callOwner<T>(call: (owner: OwnerApi) => T): Promise<T> {
    const owner = api();
    return owner === undefined
      ? Promise.reject(
        new EntryCallError("This entry is not the owner", "not_owner"),
      )
      : Promise.resolve(call(owner));
  }
  /** An entry stores records directly rather than through itself. */
  const refuseToStore = () => Promise.resolve("not_stored" as const);
  return {
    isLocal: true,
    admit: (spec) => callOwner((owner) => owner.admit(spec)),
    configAfter: () => Promise.resolve(undefined),
    accepted: (spec, revision) =>
      callOwner((owner) => owner.accept(spec, revision)),
    submit: refuseToStore,
    cancelled: (jobId) => callOwner((owner) => owner.cancel(jobId)),
    cancel: refuseToStore,
    withdraw: refuseToStore,
    status: (jobId, workspace) =>
      callOwner((owner) => owner.status(jobId, workspace)),
    waitingJobs: (queue) => callOwner((owner) => owner.waitingJobs(queue)),
    owner: () => Promise.resolve(undefined),
    replaceOwner: () => Promise.resolve(false),
    reaches: () => Promise.resolve(false),
    offerRelay: () => Promise.resolve(),
    close() {},
  };
}
