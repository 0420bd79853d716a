import { readFile } from "node:fs/promises";
import { messageOf, ValidationError } from "../errors.ts";
import { parseJson, parseWithSchema } from "../validation.ts";
import { type ResolvedSettings, settingsSchema } from "./schema.ts";

/** Reads a file; throws a `ValidationError` when it can't be read. */
export async function readTextFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw new ValidationError(path, [
      { path: "$", found: messageOf(error), expected: "a readable file" },
    ]);
  }
}

/** Loads the settings of an entry process; throws a `ValidationError`. */
export async function loadSettings(path: string): Promise<ResolvedSettings> {
  return parseWithSchema(
    settingsSchema,
    parseJson(await readTextFile(path), path),
    path,
  );
}
