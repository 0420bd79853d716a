import type { ValidationIssue } from "../errors.ts";
import { ANY_HOST } from "../constants.ts";
import { parseValidParts } from "../partial_parse.ts";
import { createIssue } from "../validation.ts";
import { settingsSchema } from "./schema.ts";

interface Listener {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

function conflicts(a: Listener, b: Listener): boolean {
  return a.port === b.port &&
    (a.host === b.host || a.host === ANY_HOST || b.host === ANY_HOST);
}

/** Returns an issue for each listener whose address conflicts with that of an earlier one. */
export function listListenIssues(data: unknown): ValidationIssue[] {
  const listen = parseValidParts(settingsSchema, data)?.listen;
  const names = ["callers", "peers", "admin"] as const;
  const listeners = names.flatMap((name): Listener[] => {
    const { host, port } = listen?.[name] ?? {};
    // With port 0 the operating system assigns each listener a different free port.
    return host === undefined || !port ? [] : [{ name, host, port }];
  });
  return listeners.flatMap((listener, index) => {
    const other = listeners.slice(0, index)
      .find((earlier) => conflicts(earlier, listener));
    return other === undefined ? [] : [createIssue(
      `$.listen.${listener.name}.port`,
      listener.port,
      `a port other than that of $.listen.${other.name}`,
    )];
  });
}
