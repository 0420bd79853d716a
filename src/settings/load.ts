import { open } from "node:fs/promises";
import { MAXIMUM_STORE_VALUE_BYTES } from "../constants.ts";
import { messageOf, ValidationError } from "../errors.ts";
import { findDuplicateKeys } from "../json_keys.ts";
import { listSchemaIssues, parseJson } from "../validation.ts";
import { listLimitIssues } from "./limit_rules.ts";
import { listListenIssues } from "./listen_rules.ts";
import { type ResolvedSettings, settingsSchema } from "./schema.ts";

/** Reads a text file of at most 1 MB; throws a `ValidationError` if it is larger or can't be read. */
export async function readTextFile(path: string): Promise<string> {
  const buffer = Buffer.alloc(MAXIMUM_STORE_VALUE_BYTES + 1);
  let sizeBytes = 0;
  try {
    const file = await open(path, "r");
    try {
      // Reads up to one byte beyond the limit, because the size of a pipe isn't known in advance.
      while (sizeBytes < buffer.length) {
        const { bytesRead } = await file.read(buffer, { offset: sizeBytes });
        if (bytesRead === 0) break;
        sizeBytes += bytesRead;
      }
    } finally {
      await file.close();
    }
  } catch (error) {
    throw new ValidationError(path, [
      { path: "$", found: messageOf(error), expected: "a readable file" },
    ]);
  }
  if (sizeBytes > MAXIMUM_STORE_VALUE_BYTES) {
    throw new ValidationError(path, [{
      path: "$",
      found: `more than ${MAXIMUM_STORE_VALUE_BYTES} bytes`,
      expected: `at most ${MAXIMUM_STORE_VALUE_BYTES} bytes`,
    }]);
  }
  return buffer.toString("utf8", 0, sizeBytes);
}

/**
 * Parses and validates settings and applies the defaults; throws a
 * `ValidationError` that lists every problem.
 */
export function resolveSettings(
  text: string,
  source: string,
): ResolvedSettings {
  const data = parseJson(text, source);
  const issues = [
    ...findDuplicateKeys(text),
    ...listSchemaIssues(settingsSchema, data),
    ...listListenIssues(data),
    ...listLimitIssues(data),
  ];
  if (issues.length > 0) throw new ValidationError(source, issues);
  return settingsSchema.parse(data);
}

/** Loads an entry's settings file; throws a `ValidationError` if it is invalid. */
export async function loadSettings(path: string): Promise<ResolvedSettings> {
  return resolveSettings(await readTextFile(path), path);
}
