import assert from "node:assert/strict";
import { request } from "undici";
import { startDeployment } from "../testing/deployment.ts";
import { waitFor } from "../testing/wait.ts";

/** Starts an entry from the built binary and sends a request through it. */
async function smoke(): Promise<void> {
  const deployment = await startDeployment({
    configFile: "examples/khomas.json",
    entryCount: 1,
    program: { kind: "binary", path: "dist/cowslipferry" },
    dataCentres: ["khomas-1", "khomas-2", "khomas-3"],
  });
  try {
    const applied = await deployment.runCommand([
      "apply",
      "examples/khomas.json",
      "--store",
      deployment.storeUrl,
    ]);
    assert.equal(applied.code, 0, applied.output);
    const url = `http://${
      deployment.entries[0]?.callerAddress
    }/quoting/quotes/1`;
    await waitFor("the entry answers", async () => {
      const response = await request(url);
      const text = await response.body.text();
      return response.statusCode === 200 && text.includes("/quoting/quotes/1");
    });
    console.log("the binary answered a request");
  } finally {
    await deployment.close();
  }
}

await smoke();
