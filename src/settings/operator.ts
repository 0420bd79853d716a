import { z } from "zod";
import { parseJson, parseWithSchema } from "../validation.ts";
import { readTextFile } from "./load.ts";
import { platformUrl } from "./platform_url.ts";

/** Schema of the settings file of the operator commands. */
export const operatorSettingsSchema = z.strictObject({
  platform: z.strictObject({
    storeUrl: platformUrl.optional(),
    vmListUrl: platformUrl.optional(),
  }).prefault({}),
});

/** Operator settings with all defaults applied. */
export type ResolvedOperatorSettings = z.output<typeof operatorSettingsSchema>;

/** Loads an operator settings file; throws a `ValidationError` if it is invalid. */
export async function loadOperatorSettings(
  path: string,
): Promise<ResolvedOperatorSettings> {
  return parseWithSchema(
    operatorSettingsSchema,
    parseJson(await readTextFile(path), path),
    path,
  );
}
