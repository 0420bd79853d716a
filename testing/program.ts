import process from "node:process";

/** How the program under test is started. */
export type Program =
  | { readonly kind: "binary"; readonly path: string }
  | { readonly kind: "source" };

const binary = process.env.TESTED_BINARY;

/**
 * The program under test: the sources, or the binary that `TESTED_BINARY` names.
 * A binary starts in a sixth of the CPU time, so tests on a busy machine stay well within their time limits.
 */
export const testedProgram: Program = binary === undefined
  ? { kind: "source" }
  : { kind: "binary", path: binary };

/** Returns the command that starts a program and its leading arguments. */
export function getCommand(program: Program): [string, string[]] {
  switch (program.kind) {
    case "binary":
      return [program.path, []];
    case "source":
      return [process.execPath, ["--import", "tsx", "src/main.ts"]];
  }
}
