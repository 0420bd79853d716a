import { jobSpecSchema } from "../model.ts";
import type { StoredItem } from "../ports.ts";

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

/** Describes a stored job: its own workspace has it, or another one. */
export function describeStoredJob(
  { value }: StoredItem,
  workspace: string,
): "existing" | "foreign" {
  return readStoredWorkspace(value) === workspace ? "existing" : "foreign";
}
