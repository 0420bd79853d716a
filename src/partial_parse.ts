import { z } from "zod";
import { unwrapSchema } from "./validation.ts";

/** A value in which every field and element may be missing because it is invalid. */
export type DeepPartial<T> = T extends readonly (infer Item)[]
  ? readonly (DeepPartial<Item> | undefined)[]
  : T extends object
    ? { readonly [Key in keyof T]?: DeepPartial<T[Key]> | undefined }
  : T;

function isObject(data: unknown): data is Record<string, unknown> {
  return typeof data === "object" && data !== null && !Array.isArray(data);
}

function parsePartially(schema: z.core.$ZodType, data: unknown): unknown {
  const result = z.safeParse(schema, data);
  if (result.success) return result.data;
  const inner = unwrapSchema(schema);
  if (inner instanceof z.ZodObject && isObject(data)) {
    return Object.fromEntries(
      Object.entries(inner.shape).map((
        [key, fieldSchema],
      ) => [key, parsePartially(fieldSchema, data[key])]),
    );
  }
  if (inner instanceof z.ZodArray && Array.isArray(data)) {
    return data.map((item) => parsePartially(inner.element, item));
  }
  return undefined;
}

/** Parses the valid parts of a value, so that other rules can be checked even if there are schema errors. */
export function parseValidParts<T extends z.ZodType>(
  schema: T,
  data: unknown,
): DeepPartial<z.output<T>> | undefined {
  return parsePartially(schema, data) as DeepPartial<z.output<T>> | undefined;
}
