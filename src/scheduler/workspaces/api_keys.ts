import { createHash } from "node:crypto";
import type { WorkspaceConfig } from "../ports.ts";

/** Returns the digest of an API key; keys themselves are neither kept nor logged. */
export function digestApiKey(key: string): string {
  return createHash("sha256").update(key).digest("base64url");
}

/** Finds the workspace of an API key. */
export interface ApiKeyIndex {
  /** Returns undefined if no workspace has the key. */
  find(key: string): WorkspaceConfig | undefined;
}

/** Creates an index whose look-ups take the same time however many keys there are. */
export function createApiKeyIndex(
  workspaces: readonly WorkspaceConfig[],
): ApiKeyIndex {
  const byDigest = new Map(
    workspaces.flatMap((workspace) =>
      workspace.keyDigests.map((digest) => [digest, workspace] as const)
    ),
  );
  return { find: (key) => byDigest.get(digestApiKey(key)) };
}
