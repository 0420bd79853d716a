import { deflateRawSync } from "node:zlib";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";
import { ValidationError } from "../errors.ts";
import { decodeLedgerMessage, encodeLedgerMessage } from "./ledger_codec.ts";

const schema = z.object({ team: z.string() });

// Guards against a call that crashes the ledger's entry or makes it hold any amount of memory.
test("bytes that aren't a call are refused with a typed error", () => {
  const call = { team: "a" };
  assert.equal(
    decodeLedgerMessage(encodeLedgerMessage(call), schema, "claim"),
    call,
  );
  const wrong = {
    empty: Buffer.alloc(0),
    "not deflated": Buffer.from(JSON.stringify(call)),
    "cut short": encodeLedgerMessage(call).subarray(0, -3),
    "not JSON": deflateRawSync("{"),
    "another shape": encodeLedgerMessage({ team: 1 }),
    "too large": deflateRawSync(`{"team":"${"a".repeat(9_000_000)}"}`),
  };
  for (const [name, bytes] of Object.entries(wrong)) {
    assert.throws(
      () => decodeLedgerMessage(bytes, schema, "claim"),
      (error: unknown) => error instanceof ValidationError,
      name,
    );
  }
});

test.run();
