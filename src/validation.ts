import type { z } from "zod";
import { ValidationError, type ValidationIssue } from "./errors.ts";

const MAXIMUM_FOUND_CHARACTERS = 120;

/** Formats a path of keys and indexes as a JSON path. */
export function formatJsonPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>(
    (text, key) =>
      typeof key === "number" ? `${text}[${key}]` : `${text}.${String(key)}`,
    "$",
  );
}

function valueAt(data: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === "object" && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    data,
  );
}

/** Formats a value for an error message, cut to a readable length. */
export function formatFound(value: unknown): string {
  const text = value === undefined ? "nothing" : JSON.stringify(value);
  return text.length > MAXIMUM_FOUND_CHARACTERS
    ? `${text.slice(0, MAXIMUM_FOUND_CHARACTERS)}...`
    : text;
}

/** Checks data against a schema; throws a `ValidationError` that lists every problem. */
export function parseWithSchema<T extends z.ZodType>(
  schema: T,
  data: unknown,
  source: string,
): z.output<T> {
  const result = schema.safeParse(data);
  if (result.success) return result.data;
  const issues: ValidationIssue[] = result.error.issues.map((issue) => ({
    path: formatJsonPath(issue.path),
    found: formatFound(valueAt(data, issue.path)),
    expected: issue.message,
  }));
  throw new ValidationError(source, issues);
}

/** Parses JSON text; throws a `ValidationError` when it is malformed. */
export function parseJson(text: string, source: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new ValidationError(source, [{
      path: "$",
      found: formatFound(text.slice(0, MAXIMUM_FOUND_CHARACTERS)),
      expected: `JSON (${(error as Error).message})`,
    }]);
  }
}
