import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";
import { operatorSettingsSchema } from "../settings/operator.ts";
import { settingsSchema } from "../settings/schema.ts";
import { unwrapSchema } from "../validation.ts";
import { configSchema } from "./schema.ts";

/** Returns the paths of a schema's leaf fields; the fields of listed objects start without a prefix. */
function listFields(schema: z.core.$ZodType, prefix = ""): string[] {
  const inner = unwrapSchema(schema);
  if (inner instanceof z.ZodObject) {
    return Object.entries(inner.shape).flatMap(([key, part]) =>
      listFields(part, prefix === "" ? key : `${prefix}.${key}`)
    );
  }
  const element = inner instanceof z.ZodArray
    ? unwrapSchema(inner.element)
    : undefined;
  return element instanceof z.ZodObject
    ? [prefix, ...listFields(element)]
    : [prefix];
}

for (
  const [file, schemas] of [
    ["configuration.md", [configSchema]],
    ["settings.md", [settingsSchema, operatorSettingsSchema]],
  ] as const
) {
  test(`guards against a field that ${file} doesn't describe, or one that no longer exists`, () => {
    const text = readFileSync(`docs/reference/${file}`, "utf8");
    const described = [...text.matchAll(/^\| `([\w.]+)` +\|/gm)]
      .map((match) => match[1]);
    const fields = schemas.flatMap((schema) => listFields(schema));
    assert.equal([...new Set(described)].sort(), [...new Set(fields)].sort());
  });
}

test.run();
