import { z } from "zod";
import { ValidationError, type ValidationIssue } from "./errors.ts";

/** Maximum length of an invalid value in an error message, in characters. */
const MAXIMUM_VALUE_CHARACTERS = 120;

/** Formats object keys and array indexes as a JSON path. */
export function formatJsonPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, key) => {
    if (typeof key === "number") return `${text}[${key}]`;
    const name = String(key);
    return /^[A-Za-z_$][\w$]*$/.test(name)
      ? `${text}.${name}`
      : `${text}[${JSON.stringify(name)}]`;
  }, "$");
}

function getValueAtPath(data: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === "object" && value !== null && Object.hasOwn(value, key)
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    data,
  );
}

function stringify(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch {
    // `JSON.stringify` can overflow the stack on a deeply nested value that `JSON.parse` accepted.
    return "a deeply nested value";
  }
}

/** Formats a value for a message, truncated to a readable length. */
export function formatValue(value: unknown): string {
  const text = value === undefined ? "nothing" : stringify(value);
  return text.length > MAXIMUM_VALUE_CHARACTERS
    ? `${text.slice(0, MAXIMUM_VALUE_CHARACTERS)}...`
    : text;
}

/** Creates an issue for the value found at a JSON path. */
export function createIssue(
  path: string,
  found: unknown,
  expected: string,
): ValidationIssue {
  return { path, found: formatValue(found), expected };
}

/** Removes the wrappers for defaults and optional values from a schema. */
export function unwrapSchema(schema: z.core.$ZodType): z.core.$ZodType {
  let inner = schema;
  while (
    inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault ||
    inner instanceof z.ZodOptional
  ) inner = inner.unwrap();
  return inner;
}

function getSchemaAtPath(
  schema: z.core.$ZodType,
  path: readonly PropertyKey[],
): z.core.$ZodType | undefined {
  let current: z.core.$ZodType | undefined = unwrapSchema(schema);
  for (const key of path) {
    if (current instanceof z.ZodObject) current = current.shape[String(key)];
    else if (current instanceof z.ZodArray) current = current.element;
    else return undefined;
    if (current !== undefined) current = unwrapSchema(current);
  }
  return current;
}

function describeUnknownKey(
  schema: z.core.$ZodType,
  path: readonly PropertyKey[],
): string {
  const parent = getSchemaAtPath(schema, path);
  return parent instanceof z.ZodObject
    ? `no such field; the fields are ${Object.keys(parent.shape).join(", ")}`
    : "no such field";
}

function describeBound(
  comparison: "at least" | "at most",
  limit: number | bigint,
  origin: string,
): string {
  const units: Record<string, string> = {
    array: " element(s)",
    string: " character(s)",
  };
  return `${comparison} ${limit}${units[origin] ?? ""}`;
}

function describeExpected(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "invalid_type":
      return `a value of type ${issue.expected}`;
    case "too_small":
      return describeBound("at least", issue.minimum, issue.origin);
    case "too_big":
      return describeBound("at most", issue.maximum, issue.origin);
    case "invalid_value":
      return issue.values.length === 1
        ? JSON.stringify(issue.values[0])
        : `one of ${
          issue.values.map((value) => JSON.stringify(value)).join(", ")
        }`;
    default:
      return issue.message;
  }
}

/** Returns all violations of a schema; empty if the data is valid. */
export function listSchemaIssues(
  schema: z.ZodType,
  data: unknown,
): ValidationIssue[] {
  const result = schema.safeParse(data);
  if (result.success) return [];
  return result.error.issues.flatMap((issue): ValidationIssue[] => {
    const paths = issue.code === "unrecognized_keys"
      ? issue.keys.map((key) => [...issue.path, key])
      : [issue.path];
    const expected = issue.code === "unrecognized_keys"
      ? describeUnknownKey(schema, issue.path)
      : describeExpected(issue);
    return paths.map((path) => ({
      path: formatJsonPath(path),
      found: formatValue(getValueAtPath(data, path)),
      expected,
    }));
  });
}

/** Parses data with a schema; throws a `ValidationError` with all violations. */
export function parseWithSchema<T extends z.ZodType>(
  schema: T,
  data: unknown,
  source: string,
): z.output<T> {
  const result = schema.safeParse(data);
  if (result.success) return result.data;
  throw new ValidationError(source, listSchemaIssues(schema, data));
}

/** Parses JSON text; throws a `ValidationError` if it is malformed. */
export function parseJson(text: string, source: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new ValidationError(source, [{
      path: "$",
      found: formatValue(text.slice(0, MAXIMUM_VALUE_CHARACTERS)),
      expected: `JSON (${(error as Error).message})`,
    }]);
  }
}
