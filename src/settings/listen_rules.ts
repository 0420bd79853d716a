import type { ValidationIssue } from "../errors.ts";
import { createIssue } from "../validation.ts";
import { parseValidParts } from "../partial_parse.ts";
import { settingsSchema } from "./schema.ts";

/** Returns an issue for each listener that has the address of an earlier one. */
export function listListenIssues(data: unknown): ValidationIssue[] {
  const { callers, peers, admin } =
    parseValidParts(settingsSchema, data)?.listen ?? {};
  const owners = new Map<string, string>();
  return Object.entries({ callers, peers, admin }).flatMap(
    ([name, listener]) => {
      const { host, port } = listener ?? {};
      // Port 0 is a different free port for each listener.
      if (host === undefined || port === undefined || port === 0) return [];
      const address = `${host}:${port}`;
      const owner = owners.get(address);
      if (owner === undefined) {
        owners.set(address, name);
        return [];
      }
      return [createIssue(
        `$.listen.${name}.port`,
        port,
        `a port other than that of $.listen.${owner} on the same host`,
      )];
    },
  );
}
