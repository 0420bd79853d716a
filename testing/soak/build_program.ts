import { join } from "node:path";
import { build } from "esbuild";

/** Bundles the program in the same way as the platform's build; returns the path of the bundle. */
export async function buildProgram(folder: string): Promise<string> {
  const outfile = join(folder, "cowslipferry.cjs");
  await build({
    entryPoints: ["platform/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    logLevel: "error",
    outfile,
  });
  return outfile;
}
