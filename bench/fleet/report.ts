import type { ComparisonRow } from "./comparison.ts";
import type { PlanningCost } from "./planning_cost.ts";

/** Comparison of the strategies on one deployment in one experiment. */
export interface ComparisonTable {
  readonly deployment: string;
  readonly experiment: string;
  readonly rows: readonly ComparisonRow[];
}

/** Duration of a maintenance round under one weighting. */
export interface MaintenanceRow {
  readonly deployment: string;
  readonly weighting: string;
  /** Days until every VM was maintained; undefined if the run ended first. */
  readonly days: number | undefined;
  /** Number of invariant violations in the run. */
  readonly violations: number;
}

/** All results of one run of the fleet benchmark. */
export interface FleetReport {
  readonly seed: number;
  readonly comparisons: readonly ComparisonTable[];
  readonly maintenance: readonly MaintenanceRow[];
  readonly planning: readonly PlanningCost[];
}

type Table = readonly (readonly string[])[];

const percent = (share: number) => `${(share * 100).toFixed(2)}%`;

function createComparisonTable({ rows }: ComparisonTable): Table {
  const base = rows.find((row) => row.strategy === "static")?.buffer ?? NaN;
  return [
    [
      "strategy",
      "weighting",
      "highest load",
      "buffer",
      "share of static buffer",
      "late at common load",
      "moves per VM and day",
      "violations",
    ],
    ...rows.map((row) => [
      row.strategy,
      row.weighting ?? "-",
      row.highestLoad.toFixed(3),
      row.buffer.toFixed(2),
      percent(row.buffer / base),
      `${percent(row.lateShare)} at ${row.commonLoad.toFixed(3)}`,
      row.movesPerVmDay.toFixed(2),
      String(row.violations),
    ]),
  ];
}

function createMaintenanceTable(rows: readonly MaintenanceRow[]): Table {
  return [
    ["deployment", "weighting", "days per round", "violations"],
    ...rows.map((row) => [
      row.deployment,
      row.weighting,
      row.days?.toFixed(3) ?? "not finished",
      String(row.violations),
    ]),
  ];
}

function createPlanningTable(rows: readonly PlanningCost[]): Table {
  return [
    [
      "deployment",
      "workers",
      "pools",
      "plan mean ms",
      "plan p99 ms",
      "plan max ms",
      "CPU ms with parse and write",
      "steps with a write",
      "record bytes",
    ],
    ...rows.map((row) => [
      row.deployment,
      String(row.workers),
      String(row.pools),
      row.planMeanMs.toFixed(2),
      row.planP99Ms.toFixed(2),
      row.planMaximumMs.toFixed(2),
      row.stepCpuMs.toFixed(2),
      String(row.changedSteps),
      String(row.recordBytes),
    ]),
  ];
}

function createSections(report: FleetReport): [string, Table][] {
  return [
    ...report.comparisons.map((table): [string, Table] => [
      `${table.deployment}: ${table.experiment}`,
      createComparisonTable(table),
    ]),
    ["Maintenance round", createMaintenanceTable(report.maintenance)],
    ["Planning step", createPlanningTable(report.planning)],
  ];
}

/** Formats the results as Markdown tables. */
export function formatMarkdown(report: FleetReport): string {
  const line = (cells: readonly string[]) => `| ${cells.join(" | ")} |`;
  return createSections(report).map(([title, [head = [], ...rows]]) =>
    [
      `### ${title}`,
      "",
      line(head),
      line(head.map(() => "---")),
      ...rows.map(line),
      "",
    ].join("\n")
  ).join("\n");
}

/** Formats the results as an HTML page. */
export function formatHtml(report: FleetReport): string {
  const row = (cells: readonly string[], tag: string) =>
    `<tr>${cells.map((cell) => `<${tag}>${cell}</${tag}>`).join("")}</tr>`;
  const body = createSections(report).map(([title, [head = [], ...rows]]) =>
    `<h2>${title}</h2><table border="1">${row(head, "th")}${
      rows.map((cells) => row(cells, "td")).join("")
    }</table>`
  ).join("\n");
  return `<!doctype html><meta charset="utf-8"><title>Fleet</title>
<h1>Fleet benchmark, seed ${report.seed}</h1>
${body}
`;
}
