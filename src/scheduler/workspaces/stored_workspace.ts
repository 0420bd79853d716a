import { jobSpecSchema } from "../model.ts";
import type { ChangeOutcome } from "../ports.ts";

const workspaceSchema = jobSpecSchema.pick({ workspace: true });

/** Returns the workspace of a stored job; undefined if the record is invalid. */
export function readStoredWorkspace(value: string): string | undefined {
  try {
    return workspaceSchema.parse(JSON.parse(value)).workspace;
  } catch {
    // The owner logs invalid jobs; nobody may use one.
    return undefined;
  }
}

/** Describes why a job wasn't stored: it was stored before, by its own workspace or by another one. */
export function describeConflict(
  outcome: ChangeOutcome,
  workspace: string,
): "existing" | "foreign" {
  const stored = outcome.kind === "conflict" ? outcome.items[0] : undefined;
  return stored === undefined ||
      readStoredWorkspace(stored.value) === workspace
    ? "existing"
    : "foreign";
}
