import { assertNever } from "../errors.ts";
import { formatJsonPath, formatValue } from "../validation.ts";
import type { ResolvedConfig } from "./schema.ts";

/** A changed field with its values before and after; undefined where it is absent. */
export interface FieldChange {
  /** Path of the field inside its team, service or pool. */
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Sections of a configuration that list named items. */
export type NamedSection = "teams" | "services" | "pools";

/** One difference between two configurations. */
export type ConfigChange =
  | {
    readonly kind: "added";
    readonly section: NamedSection;
    readonly name: string;
  }
  | {
    readonly kind: "removed";
    readonly section: NamedSection;
    readonly name: string;
  }
  | {
    readonly kind: "changed";
    readonly section: NamedSection;
    readonly name: string;
    readonly fields: readonly FieldChange[];
  }
  | { readonly kind: "reordered"; readonly section: NamedSection }
  | { readonly kind: "general"; readonly fields: readonly FieldChange[] };

const SECTIONS: readonly NamedSection[] = ["teams", "services", "pools"];

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function compareFields(
  before: unknown,
  after: unknown,
  path: readonly string[] = [],
): FieldChange[] {
  if (isObject(before) && isObject(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...keys].flatMap((key) =>
      compareFields(before[key], after[key], [...path, key])
    );
  }
  return JSON.stringify(before) === JSON.stringify(after)
    ? []
    : [{ path: formatJsonPath(path).slice(2), before, after }];
}

interface NamedItem {
  readonly name: string;
}

function compareSection(
  section: NamedSection,
  before: readonly NamedItem[],
  after: readonly NamedItem[],
): ConfigChange[] {
  const beforeByName = new Map(before.map((item) => [item.name, item]));
  const namesAfter = new Set(after.map((item) => item.name));
  const changes: ConfigChange[] = [];
  for (const item of before) {
    if (!namesAfter.has(item.name)) {
      changes.push({ kind: "removed", section, name: item.name });
    }
  }
  for (const item of after) {
    const previous = beforeByName.get(item.name);
    if (previous === undefined) {
      changes.push({ kind: "added", section, name: item.name });
      continue;
    }
    const fields = compareFields(previous, item);
    if (fields.length > 0) {
      changes.push({ kind: "changed", section, name: item.name, fields });
    }
  }
  const keptBefore = before.filter((item) => namesAfter.has(item.name));
  const keptAfter = after.filter((item) => beforeByName.has(item.name));
  if (keptBefore.some((item, index) => item.name !== keptAfter[index]?.name)) {
    changes.push({ kind: "reordered", section });
  }
  return changes;
}

/** Compares two configurations by the names of their teams, services and pools. */
export function diffConfigs(
  before: ResolvedConfig | undefined,
  after: ResolvedConfig,
): ConfigChange[] {
  const general = before === undefined ? [] : compareFields(
    { weights: before.weights, regions: before.regions },
    { weights: after.weights, regions: after.regions },
  );
  return [
    ...(general.length > 0
      ? [{ kind: "general", fields: general } as const]
      : []),
    ...SECTIONS.flatMap((section) =>
      compareSection(section, before?.[section] ?? [], after[section])
    ),
  ];
}

function formatFields(fields: readonly FieldChange[]): string[] {
  return fields.map((field) =>
    `    ${field.path}: ${formatValue(field.before)} -> ${
      formatValue(field.after)
    }`
  );
}

/** Formats changes as lines, one for each item and one for each changed field. */
export function formatChanges(changes: readonly ConfigChange[]): string[] {
  return changes.flatMap((change) => {
    switch (change.kind) {
      case "added":
        return [`  + ${change.section} ${change.name}`];
      case "removed":
        return [`  - ${change.section} ${change.name}`];
      case "changed":
        return [
          `  ~ ${change.section} ${change.name}`,
          ...formatFields(change.fields),
        ];
      case "reordered":
        return [`  ~ ${change.section}: order changed`];
      case "general":
        return ["  ~ general", ...formatFields(change.fields)];
      default:
        return assertNever(change);
    }
  });
}
