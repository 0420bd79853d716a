import { createWriteStream, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Longest time that a script may take, in ms. */
const LIMIT_MS = 115_000;

/**
 * Runs a case and ends the process with 1 if the rule was broken, 0 if it held and
 * 2 if the case couldn't run. `run(log, cleanups)` returns what broke the rule, one
 * text each; it pushes what has to be closed to `cleanups`.
 */
export async function runScript(caseUrl, run) {
  const file = join(dirname(fileURLToPath(caseUrl)), "record.txt");
  writeFileSync(file, "");
  const record = createWriteStream(file, { flags: "a" });
  const log = (line) => record.write(`${line}\n`);
  const cleanups = [];
  let code = 2;
  try {
    const limit = new Promise((_, reject) =>
      setTimeout(() => reject(new Error("the case took too long")), LIMIT_MS)
        .unref()
    );
    const breaks = await Promise.race([run(log, cleanups), limit]);
    for (const text of breaks) log(`BROKEN ${text}`);
    log(breaks.length > 0 ? "result: broken" : "result: held");
    code = breaks.length > 0 ? 1 : 0;
    console.log(breaks.length > 0 ? `broken: ${breaks[0]}` : "held");
  } catch (error) {
    log(`the case couldn't run: ${error.stack}`);
    console.log(`the case couldn't run: ${error.message}`);
  }
  for (const cleanup of cleanups.reverse()) {
    try {
      await cleanup();
    } catch (error) {
      log(`cleanup failed: ${error.message}`);
    }
  }
  record.end(() => process.exit(code));
}
