import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { formatTable } from "../testing/latency.ts";

const OUTPUT_FOLDER = "bench/out";

/** Table in a report. */
export interface ReportTable {
  readonly title: string;
  /** The first row holds the column names. */
  readonly rows: readonly (readonly (string | number)[])[];
}

/** Line chart in a report, with one line per series and one point per segment. */
export interface ReportChart {
  readonly title: string;
  readonly series: Readonly<Record<string, readonly number[]>>;
}

/** Results of one benchmark. */
export interface Report {
  readonly name: string;
  /** Command line of the benchmark. */
  readonly command: string;
  /** Content of the JSON file. */
  readonly results: unknown;
  readonly tables: readonly ReportTable[];
  readonly charts: readonly ReportChart[];
}

/** Size of a chart, in pixels. */
const CHART_WIDTH = 640;
const CHART_HEIGHT = 200;
const COLOURS = ["#1f6f8b", "#c0392b", "#27823b", "#8e5fb0", "#b9770e"];

function escape(text: string | number): string {
  return String(text).replace(/&/g, "&amp;").replace(/</g, "&lt;");
}

function renderTable({ title, rows }: ReportTable): string {
  const cells = rows.map((row) =>
    `<tr>${
      row.map((cell) =>
        `<td>${
          escape(
            typeof cell === "number" && !Number.isInteger(cell)
              ? cell.toFixed(3)
              : cell,
          )
        }</td>`
      ).join("")
    }</tr>`
  );
  return `<h2>${escape(title)}</h2><table>${cells.join("\n")}</table>`;
}

function renderChart({ title, series }: ReportChart): string {
  const maximum = Math.max(1, ...Object.values(series).flat());
  const lines = Object.entries(series).map(([name, values], index) => {
    const colour = COLOURS[index % COLOURS.length];
    const step = CHART_WIDTH / Math.max(1, values.length - 1);
    const points = values.map((value, position) =>
      `${(position * step).toFixed(1)},${
        (CHART_HEIGHT - value / maximum * CHART_HEIGHT).toFixed(1)
      }`
    ).join(" ");
    return `<polyline fill="none" stroke="${colour}" points="${points}"/>` +
      `<text x="4" y="${14 * (index + 1)}" fill="${colour}">${
        escape(name)
      }</text>`;
  });
  return `<h2>${
    escape(title)
  } (highest ${maximum})</h2><svg width="${CHART_WIDTH}" height="${CHART_HEIGHT}">${
    lines.join("")
  }</svg>`;
}

/** Prints the tables of a report and writes its results as JSON and an HTML page to `bench/out/`. */
export async function writeReport(report: Report): Promise<void> {
  for (const { title, rows } of report.tables) {
    console.log(`\n${title}\n${formatTable(rows)}`);
  }
  await mkdir(OUTPUT_FOLDER, { recursive: true });
  const json = join(OUTPUT_FOLDER, `${report.name}.json`);
  const page = join(OUTPUT_FOLDER, `${report.name}.html`);
  await writeFile(json, JSON.stringify(report.results, undefined, 2));
  await writeFile(
    page,
    `<!doctype html><meta charset="utf-8"><title>${escape(report.name)}</title>
<style>body{font-family:sans-serif}td{padding:2px 10px;text-align:right}</style>
<h1>${escape(report.name)}</h1><p><code>${escape(report.command)}</code></p>
${report.tables.map(renderTable).join("\n")}
${report.charts.map(renderChart).join("\n")}
`,
  );
  console.log(`\nresults: ${json}, report: ${page}`);
}
