import type { ValidationIssue } from "../errors.ts";
import { createIssue } from "../validation.ts";
import { listBudgetIssues } from "./budget_rules.ts";
import type { PartialConfig } from "./schema.ts";

function listDuplicates(
  path: string,
  names: readonly (string | undefined)[],
  suffix = "",
): ValidationIssue[] {
  const firstIndexes = new Map<string, number>();
  return names.flatMap((name, index) => {
    if (name === undefined) return [];
    const first = firstIndexes.get(name);
    if (first === undefined) firstIndexes.set(name, index);
    return first === undefined ? [] : [createIssue(
      `${path}[${index}]${suffix}`,
      name,
      `a unique name; ${path}[${first}] has the same one`,
    )];
  });
}

function listNameIssues(config: PartialConfig): ValidationIssue[] {
  const sections = ["teams", "services", "pools"] as const;
  return [
    ...sections.flatMap((section) =>
      listDuplicates(
        `$.${section}`,
        (config[section] ?? []).map((item) => item?.name),
        ".name",
      )
    ),
    ...listDuplicates("$.regions", config.regions ?? []),
  ];
}

/** Names in a section; undefined if one of them is invalid, since a reference may point to the invalid name. */
function collectNames(
  items: readonly ({ readonly name?: string | undefined } | undefined)[] = [],
): ReadonlySet<string> | undefined {
  return toCompleteNameSet(items.map((item) => item?.name));
}

function toCompleteNameSet(
  names: readonly (string | undefined)[] = [],
): ReadonlySet<string> | undefined {
  return names.length === 0 || names.includes(undefined)
    ? undefined
    : new Set(names as readonly string[]);
}

function describeNames(kind: string, names: ReadonlySet<string>): string {
  const shown = [...names].slice(0, 10).join(", ");
  const more = names.size > 10 ? ` and ${names.size - 10} more` : "";
  return `a declared ${kind}: ${shown}${more}`;
}

function listReferenceIssues(config: PartialConfig): ValidationIssue[] {
  const teams = collectNames(config.teams);
  const services = collectNames(config.services);
  const regions = toCompleteNameSet(config.regions);
  return (config.pools ?? []).flatMap((pool, index) => {
    if (pool === undefined) return [];
    const path = `$.pools[${index}]`;
    const check = (
      relativePath: string,
      kind: string,
      name: string | undefined,
      names: ReadonlySet<string> | undefined,
    ): ValidationIssue[] =>
      name === undefined || names === undefined || names.has(name)
        ? []
        : [createIssue(path + relativePath, name, describeNames(kind, names))];
    const served = pool.services ?? [];
    return [
      ...check(".team", "team", pool.team, teams),
      ...check(".region", "region", pool.region, regions),
      ...served.flatMap((name, position) =>
        check(`.services[${position}]`, "service", name, services)
      ),
      ...listDuplicates(`${path}.services`, served),
    ];
  });
}

function listCoverageIssues(config: PartialConfig): ValidationIssue[] {
  const pools = config.pools ?? [];
  // An invalid pool may be the missing one, so coverage can't be checked.
  if (pools.some((pool) => pool?.services?.includes(undefined) ?? true)) {
    return [];
  }
  const served = new Set(pools.flatMap((pool) => pool?.services ?? []));
  const regions = new Set(pools.map((pool) => pool?.region));
  return [
    ...(config.services ?? []).flatMap((service, index) =>
      service?.name === undefined || served.has(service.name)
        ? []
        : [createIssue(
          `$.services[${index}].name`,
          service.name,
          "a service that at least one pool lists in its services",
        )]
    ),
    ...(config.regions ?? []).flatMap((region, index) =>
      region === undefined || regions.has(region) || regions.has(undefined)
        ? []
        : [createIssue(
          `$.regions[${index}]`,
          region,
          "a region that has at least one pool",
        )]
    ),
  ];
}

/** Checks that a service has at most one own pool in a region; the request path uses it to tell own capacity from overflow. */
function listOwnPoolIssues(config: PartialConfig): ValidationIssue[] {
  const owners = new Map<string, number>();
  return (config.pools ?? []).flatMap((pool, index) => {
    const ownService = pool?.services?.[0];
    if (ownService === undefined || pool?.region === undefined) return [];
    const key = `${pool.region}/${ownService}`;
    const first = owners.get(key);
    if (first === undefined) {
      owners.set(key, index);
      return [];
    }
    return [createIssue(
      `$.pools[${index}].services[0]`,
      ownService,
      `a service that is first in no other pool of region ${pool.region}; ` +
        `$.pools[${first}] is already its own pool`,
    )];
  });
}

/** Checks that a service without an own pool in a region is served there by a pool with overflow. */
function listUnreachableServiceIssues(
  config: PartialConfig,
): ValidationIssue[] {
  const pools = config.pools ?? [];
  const reachable = new Set<string>();
  for (const pool of pools) {
    // An invalid pool may be the one that makes a service reachable.
    if (
      pool?.region === undefined || pool.services === undefined ||
      pool.services.includes(undefined) ||
      pool.lending?.overflow === undefined
    ) return [];
    const usable = pool.lending.overflow
      ? pool.services
      : pool.services.slice(0, 1);
    for (const service of usable) reachable.add(`${pool.region}/${service}`);
  }
  return pools.flatMap((pool, index) =>
    (pool?.services ?? []).flatMap((service, position) =>
      reachable.has(`${pool?.region}/${service}`) ? [] : [createIssue(
        `$.pools[${index}].services[${position}]`,
        service,
        `a service that, in region ${pool?.region}, is first in some pool or ` +
          "listed by a pool with lending.overflow",
      )]
    )
  );
}

/** Returns every rule violation among the valid parts of a configuration. */
export function listRuleIssues(config: PartialConfig): ValidationIssue[] {
  return [
    ...listNameIssues(config),
    ...listReferenceIssues(config),
    ...listCoverageIssues(config),
    ...listOwnPoolIssues(config),
    ...listUnreachableServiceIssues(config),
    ...(config.pools ?? []).flatMap((pool, index) =>
      pool === undefined ? [] : listBudgetIssues(pool, `$.pools[${index}]`)
    ),
  ];
}
