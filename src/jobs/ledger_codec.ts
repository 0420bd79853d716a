import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { z } from "zod";
import { ValidationError } from "../errors.ts";
import { createIssue, parseJson, parseWithSchema } from "../validation.ts";

/** Maximum size of a decoded call or answer, in bytes. */
const MAXIMUM_DECODED_BYTES = 8_388_608;

/**
 * Encodes a ledger call or answer as deflated JSON. Claims repeat the same
 * names for each team, and as plain JSON they would exceed the limit on control
 * traffic.
 */
export function encodeLedgerMessage(data: unknown): Buffer {
  return deflateRawSync(JSON.stringify(data), { level: 1 });
}

/**
 * Decodes a ledger call or answer. Throws a `ValidationError` if it is
 * malformed or too large.
 */
export function decodeLedgerMessage<Schema extends z.ZodType>(
  bytes: Buffer,
  schema: Schema,
  subject: string,
): z.output<Schema> {
  let text: string;
  try {
    const options = { maxOutputLength: MAXIMUM_DECODED_BYTES };
    text = inflateRawSync(bytes, options).toString();
  } catch {
    const found = `${bytes.length} bytes`;
    throw new ValidationError(subject, [
      createIssue("$", found, "deflated JSON"),
    ]);
  }
  return parseWithSchema(schema, parseJson(text, subject), subject);
}
