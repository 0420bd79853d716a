import type { Metric } from "../metrics.ts";
import type { ConnectionBudget } from "./connection_budget.ts";

/** Returns the metrics of callers' connections: their number, their memory in bytes, and evictions by reason. */
export function readConnectionMetrics(budget: ConnectionBudget): Metric[] {
  const metric = (
    kind: "counter" | "gauge",
    name: string,
    help: string,
    value: number,
    labels: Record<string, string> = {},
  ): Metric => ({
    kind,
    name: `cowslipferry_${name}`,
    help,
    value,
    labels,
  });
  return [
    metric(
      "gauge",
      "caller_connections",
      "Open connections of callers",
      budget.connections,
    ),
    metric(
      "gauge",
      "caller_connection_bytes",
      "Memory of callers' connections",
      budget.usedBytes,
    ),
    ...[...budget.evictions].map(([reason, count]) =>
      metric(
        "counter",
        "connection_evictions_total",
        "Callers' connections closed and requests refused at a limit",
        count,
        { reason },
      )
    ),
  ];
}
