import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createDurationMetric, formatPrometheus } from "./metrics.ts";

const test = suite("metrics");

test("a metric family has one header and label values are escaped", () => {
  const createRestartCounter = (value: string, restarts: number) => ({
    kind: "counter" as const,
    name: "restarts_total",
    help: "Restarts of a part",
    labels: { part: value },
    value: restarts,
  });
  assert.is(
    formatPrometheus([
      createRestartCounter('a"b\\c\nd', 1),
      createRestartCounter("peers", 2),
    ]),
    [
      "# HELP restarts_total Restarts of a part",
      "# TYPE restarts_total counter",
      'restarts_total{part="a\\"b\\\\c\\nd"} 1',
      'restarts_total{part="peers"} 2',
      "",
    ].join("\n"),
  );
});

test("a summary resolves durations below 1 ms and clamps those out of range", () => {
  const metric = createDurationMetric("call_ms", { peer: "a" });
  metric.record(0.5);
  metric.record(-1);
  metric.record(10 ** 9);
  const { count, quantiles } = metric.read();
  assert.is(count, 3);
  assert.ok(Math.abs(quantiles["0.5"]! - 0.5) < 0.01);
  const text = formatPrometheus([
    { kind: "summary", help: "Calls", ...metric.read() },
  ]);
  assert.match(
    text,
    '# TYPE call_ms summary\ncall_ms{peer="a",quantile="0.5"}',
  );
  assert.match(text, 'call_ms_count{peer="a"} 3');
});

test.run();
