import type { ValidationIssue } from "./errors.ts";
import { createIssue, formatJsonPath } from "./validation.ts";

type NestingLevel =
  | { readonly kind: "object"; readonly keys: Set<string>; key: string }
  | { readonly kind: "array"; index: number };

/** Matches a string or a structural character; other tokens don't affect the keys. */
const TOKEN = /"(?:[^"\\]|\\.)*"|[{}[\],:]/g;

function formatLevels(levels: readonly NestingLevel[]): string {
  return formatJsonPath(
    levels.map((level) => level.kind === "object" ? level.key : level.index),
  );
}

/** Returns an issue for each duplicate object key in a valid JSON text; `JSON.parse` silently keeps the last value. */
export function findDuplicateKeys(text: string): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  const levels: NestingLevel[] = [];
  let expectsKey = false;
  for (const [token] of text.matchAll(TOKEN)) {
    const level = levels.at(-1);
    switch (token) {
      case "{":
        levels.push({ kind: "object", keys: new Set(), key: "" });
        expectsKey = true;
        break;
      case "[":
        levels.push({ kind: "array", index: 0 });
        expectsKey = false;
        break;
      case "}":
      case "]":
        levels.pop();
        expectsKey = false;
        break;
      case ",":
        if (level?.kind === "array") level.index++;
        expectsKey = level?.kind === "object";
        break;
      case ":":
        expectsKey = false;
        break;
      default:
        if (!expectsKey || level?.kind !== "object") break;
        level.key = JSON.parse(token);
        if (level.keys.has(level.key)) {
          issues.push(
            createIssue(
              formatLevels(levels),
              level.key,
              "a key that is used once",
            ),
          );
        }
        level.keys.add(level.key);
    }
  }
  return issues;
}
