import { open } from "node:fs/promises";
import { MAXIMUM_STORE_VALUE_BYTES } from "../constants.ts";
import { messageOf, ValidationError } from "../errors.ts";
import { findDuplicateKeys } from "../json_keys.ts";
import { listSchemaIssues, parseJson } from "../validation.ts";
import { listListenIssues } from "./listen_rules.ts";
import { type ResolvedSettings, settingsSchema } from "./schema.ts";

/** Reads a file of at most 1 MB; throws a `ValidationError` when it is larger or can't be read. */
export async function readTextFile(path: string): Promise<string> {
  const buffer = Buffer.alloc(MAXIMUM_STORE_VALUE_BYTES + 1);
  let sizeBytes = 0;
  try {
    const file = await open(path, "r");
    try {
      // Reads one byte more than allowed, as the size of a pipe is not known beforehand.
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

/** Parses and checks settings; throws a `ValidationError` that lists every problem. */
export function resolveSettings(
  text: string,
  source: string,
): ResolvedSettings {
  const data = parseJson(text, source);
  const issues = [
    ...findDuplicateKeys(text),
    ...listSchemaIssues(settingsSchema, data),
    ...listListenIssues(data),
  ];
  if (issues.length > 0) throw new ValidationError(source, issues);
  return settingsSchema.parse(data);
}

/** Loads the settings of an entry process; throws a `ValidationError`. */
export async function loadSettings(path: string): Promise<ResolvedSettings> {
  return resolveSettings(await readTextFile(path), path);
}
