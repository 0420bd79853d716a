import { MAXIMUM_STORE_VALUE_BYTES } from "../constants.ts";
import { ValidationError, type ValidationIssue } from "../errors.ts";
import { findDuplicateKeys } from "../json_keys.ts";
import { listSchemaIssues, parseJson } from "../validation.ts";
import { parseValidParts } from "../partial_parse.ts";
import { listRuleIssues } from "./rules.ts";
import { configSchema, type ResolvedConfig } from "./schema.ts";

/** Bytes of the stored value that are reserved for the revision, apply ID, digest and earlier applies. */
const ENVELOPE_BYTES = 4_096;

function throwTooLarge(
  source: string,
  found: string,
  maximumBytes: number,
): never {
  throw new ValidationError(source, [
    { path: "$", found, expected: `at most ${maximumBytes} bytes` },
  ]);
}

/** Returns every problem of a configuration: schema errors first, then rule violations. */
export function listConfigIssues(data: unknown): ValidationIssue[] {
  const parts = parseValidParts(configSchema, data);
  return [
    ...listSchemaIssues(configSchema, data),
    ...(parts === undefined ? [] : listRuleIssues(parts)),
  ];
}

/** Parses and checks a configuration file; throws a `ValidationError` that lists every problem. */
export function resolveConfig(text: string, source: string): ResolvedConfig {
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > MAXIMUM_STORE_VALUE_BYTES) {
    throwTooLarge(source, `${sizeBytes} bytes`, MAXIMUM_STORE_VALUE_BYTES);
  }
  const data = parseJson(text, source);
  const issues = [...findDuplicateKeys(text), ...listConfigIssues(data)];
  if (issues.length > 0) throw new ValidationError(source, issues);
  const config = configSchema.parse(data);
  // The store holds the configuration with every default filled in, which may be larger than the file.
  const resolvedBytes = Buffer.byteLength(JSON.stringify(config));
  const maximumBytes = MAXIMUM_STORE_VALUE_BYTES - ENVELOPE_BYTES;
  if (resolvedBytes > maximumBytes) {
    throwTooLarge(
      source,
      `${resolvedBytes} bytes with all defaults filled in`,
      maximumBytes,
    );
  }
  return config;
}
