import { createServer } from "node:http";
import { run } from "effection";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Logger } from "./logger.ts";
import { silentLogger } from "./logger.ts";
import { stopGracefully } from "./shutdown.ts";
import { createStopSignals } from "./signals.ts";

const test = suite("shutdown");

/** Shuts down a request proxy whose drain ends when `idle` resolves. */
async function runShutdown(
  options: { graceMs: number; idle: Promise<void>; secondSignal?: boolean },
) {
  const events: string[] = [];
  const errors: unknown[] = [];
  const signals = createStopSignals();
  if (options.secondSignal) signals.send();
  const log: Logger = {
    ...silentLogger,
    error: (message, fields) => errors.push({ message, fields }),
  };
  const load = { inFlight: 2, waiting: 1, demandSlots: 3 };
  const code = await run(() =>
    stopGracefully({
      requestProxy: {
        server: createServer(),
        drain() {
          events.push("drain");
          return options.idle;
        },
        inFlight: () => 3,
        load: () => ({
          services: { quoting: load },
          drainingInFlight: {},
          leavingVms: [],
        }),
      },
      graceMs: options.graceMs,
      signals,
      onStopping: () => events.push("stopping"),
      log,
    })
  );
  return { code, events, errors };
}

const never = new Promise<void>(() => {});

test("the entry is reported as stopping before its requests are drained", async () => {
  const result = await runShutdown({ graceMs: 3_000, idle: Promise.resolve() });
  assert.equal(result, {
    code: 0,
    events: ["stopping", "drain"],
    errors: [],
  });
});

test("the end of the grace period or a second signal ends a drain that hangs and logs the aborted requests", async () => {
  const cases = [
    { reason: "grace time over", graceMs: 100, idle: never },
    {
      reason: "second signal",
      graceMs: 10_000,
      idle: never,
      secondSignal: true,
    },
  ];
  for (const { reason, ...options } of cases) {
    const { code, errors } = await runShutdown(options);
    assert.is(code, 1);
    assert.equal(errors, [{
      message: `${reason}: aborting 3 request(s)`,
      fields: {
        requestsInFlight: 3,
        services: { quoting: { inFlight: 2, waiting: 1 } },
      },
    }]);
  }
});

test.run();
