import { createServer } from "node:net";
import process from "node:process";

/**
 * Lowest port of the entries. The range lies below the ephemeral ports, so that no outgoing connection
 * takes an entry's port while it restarts.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
let nextPort = FIRST_PORT +
  process.pid * 37 % (LAST_PORT - FIRST_PORT);

/** Returns a free loopback port that this process hasn't allocated recently. */
export async function allocatePort(): Promise<number> {
  for (;;) {
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
    const port = nextPort;
    const server = createServer();
    const opened = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!opened) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}
