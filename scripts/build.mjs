// Builds dist/cowslipferry as a Node single executable application: bundles the
// sources, generates the blob and injects it into a copy of the node binary.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { build } from "esbuild";
import { inject } from "postject";
import { readFileSync } from "node:fs";

// Fuse in the Node binary, which the injection flips so that Node runs the injected application.
const SENTINEL = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("dist", { recursive: true });
await build({
  entryPoints: ["src/main.ts"],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outfile: "dist/main.cjs",
  logLevel: "warning",
});
writeFileSync(
  "dist/sea-config.json",
  JSON.stringify({
    main: "dist/main.cjs",
    output: "dist/sea.blob",
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, [
  "--experimental-sea-config",
  "dist/sea-config.json",
], {
  stdio: ["ignore", "ignore", "inherit"],
});
copyFileSync(process.execPath, "dist/cowslipferry");
chmodSync("dist/cowslipferry", 0o755);
await inject(
  "dist/cowslipferry",
  "NODE_SEA_BLOB",
  readFileSync("dist/sea.blob"),
  {
    sentinelFuse: SENTINEL,
  },
);
console.log("built dist/cowslipferry");
