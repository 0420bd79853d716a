import { resolveConnectionLimits } from "../connections/connection_limits.ts";
import type { ValidationIssue } from "../errors.ts";
import { parseValidParts } from "../partial_parse.ts";
import { createIssue } from "../validation.ts";
import { settingsSchema } from "./schema.ts";

/** Memory for each byte of the largest body: while it is received, and as one buffer. */
const COPIES_OF_BODY = 3;

/** Returns an issue if the callers' share of the memory can't hold a body of the maximum size. */
export function listLimitIssues(data: unknown): ValidationIssue[] {
  const limits = parseValidParts(settingsSchema, data)?.limits;
  if (
    limits?.maximumBodyBytes === undefined || limits.memoryMb === undefined ||
    limits.fileDescriptors === undefined
  ) return [];
  const { memoryBytes } = resolveConnectionLimits({
    memoryMb: limits.memoryMb,
    fileDescriptors: limits.fileDescriptors,
  });
  const largestBodyBytes = Math.floor(memoryBytes / COPIES_OF_BODY);
  return limits.maximumBodyBytes <= largestBodyBytes ? [] : [createIssue(
    "$.limits.maximumBodyBytes",
    limits.maximumBodyBytes,
    `at most ${largestBodyBytes} with $.limits.memoryMb ${limits.memoryMb}`,
  )];
}
