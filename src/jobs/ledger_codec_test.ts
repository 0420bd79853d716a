import { deflateRawSync } from "node:zlib";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";
import { ValidationError } from "../errors.ts";
import { decodeLedgerMessage, encodeLedgerMessage } from "./ledger_codec.ts";

const schema = z.object({ team: z.string() });

// Guards against malformed calls that crash the entry of the ledger or make it
// allocate unbounded memory.
test("malformed calls are rejected with a ValidationError", () => {
  const call = { team: "a" };
  assert.equal(
    decodeLedgerMessage(encodeLedgerMessage(call), schema, "claim"),
    call,
  );
  const malformed = {
    empty: Buffer.alloc(0),
    "not deflated": Buffer.from(JSON.stringify(call)),
    "cut short": encodeLedgerMessage(call).subarray(0, -3),
    "not JSON": deflateRawSync("{"),
    "another shape": encodeLedgerMessage({ team: 1 }),
    "too large": deflateRawSync(`{"team":"${"a".repeat(9_000_000)}"}`),
  };
  for (const [name, bytes] of Object.entries(malformed)) {
    assert.throws(
      () => decodeLedgerMessage(bytes, schema, "claim"),
      (error: unknown) => error instanceof ValidationError,
      name,
    );
  }
});

test.run();
