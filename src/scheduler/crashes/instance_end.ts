import { assertNever } from "../../errors.ts";

/** How it is known that a worker instance has ended, or why it is taken as ended. */
export type InstanceEnd =
  /** The worker has registered with a later start time. */
  | "restarted"
  /** Another process responds under its ID. */
  | "replaced"
  | "vm_down"
  | "vm_unlisted"
  | "vm_reassigned"
  /** An order of this owner has ended it. */
  | "vm_ordered"
  /** It doesn't respond, and every lease that it may hold has expired. */
  | "leases_expired"
  /** It isn't registered and has no tasks. */
  | "unused";

/** Whether a process with the same ID may follow, or has followed unseen, that executes calls that were meant for this one. */
export type UnseenSuccessor = "may_follow" | "may_have_followed" | "none";

/** Tells whether an instance that has ended like this may have a successor under its ID that the owner doesn't know. */
export function resolveUnseenSuccessor(end: InstanceEnd): UnseenSuccessor {
  switch (end) {
    case "vm_down":
    case "vm_ordered":
      return "may_follow";
    case "leases_expired":
      return "may_have_followed";
    case "restarted":
    case "unused":
      return "none";
    // Its address belongs to another worker, which refuses calls that name this one, or to none.
    case "replaced":
    case "vm_unlisted":
    case "vm_reassigned":
      return "none";
    default:
      return assertNever(end);
  }
}

/** Whether an instance that was removed like this has left for good, so that no process has its ID any more. */
export function hasLeft(end: InstanceEnd): boolean {
  switch (end) {
    case "replaced":
    case "vm_unlisted":
    case "vm_reassigned":
      return true;
    case "restarted":
    case "vm_down":
    case "vm_ordered":
    case "leases_expired":
    case "unused":
      return false;
    default:
      return assertNever(end);
  }
}

/** What the end of an instance says about its process. */
export type ProcessFate =
  /** The process has ended, and no order or drain explains it. */
  | "crashed"
  /** Unreachable; the process may have ended or may still run. */
  | "unknown"
  | "planned";

/** Describes the end of an instance for the log. */
export function describeInstanceEnd(end: InstanceEnd): string {
  switch (end) {
    case "restarted":
      return "the worker has restarted";
    case "replaced":
      return "another instance responds under its ID";
    case "vm_down":
      return "its VM is down";
    case "vm_unlisted":
      return "its VM is no longer listed";
    case "vm_reassigned":
      return "its VM runs another worker";
    case "vm_ordered":
      return "its VM was taken down for an order";
    case "leases_expired":
      return "every lease it may hold has expired";
    case "unused":
      return "it isn't registered and has no tasks";
    default:
      return assertNever(end);
  }
}

/** Returns the fate of a process; `planned` tells whether it was draining or an order for its VM explains its end. */
export function resolveProcessFate(
  end: InstanceEnd,
  planned: boolean,
): ProcessFate {
  switch (end) {
    case "vm_ordered":
    case "unused":
      return "planned";
    case "restarted":
    case "replaced":
    case "vm_down":
    case "vm_unlisted":
    case "vm_reassigned":
      return planned ? "planned" : "crashed";
    case "leases_expired":
      return planned ? "planned" : "unknown";
    default:
      return assertNever(end);
  }
}
