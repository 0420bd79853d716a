import { MAXIMUM_STORE_VALUE_BYTES } from "../constants.ts";
import { ValidationError } from "../errors.ts";
import { parseJson, parseWithSchema } from "../validation.ts";
import { configSchema, type ResolvedConfig } from "./schema.ts";

/** Parses and checks a configuration file; throws a `ValidationError` that lists every problem. */
export function resolveConfig(text: string, source: string): ResolvedConfig {
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > MAXIMUM_STORE_VALUE_BYTES) {
    throw new ValidationError(source, [{
      path: "$",
      found: `${sizeBytes} bytes`,
      expected: `at most ${MAXIMUM_STORE_VALUE_BYTES} bytes`,
    }]);
  }
  return parseWithSchema(configSchema, parseJson(text, source), source);
}
