import process from "node:process";

/** How processes of the product are started. */
export type Program =
  | { readonly kind: "binary"; readonly path: string }
  | { readonly kind: "source" };

const binary = process.env.TESTED_BINARY;

/** What tests start: the sources, or the binary that `TESTED_BINARY` names. A binary starts in a sixth of the processor time, which keeps time limits far away on a busy machine. */
export const testedProgram: Program = binary === undefined
  ? { kind: "source" }
  : { kind: "binary", path: binary };

/** Returns the command of a program and its first arguments. */
export function commandOf(program: Program): [string, string[]] {
  switch (program.kind) {
    case "binary":
      return [program.path, []];
    case "source":
      return [process.execPath, ["--import", "tsx", "src/main.ts"]];
  }
}
