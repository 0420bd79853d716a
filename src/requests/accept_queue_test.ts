import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { answer, withEntry } from "../../testing/entry_with_backends.ts";
import { createFakeClock } from "../../testing/request_entry.ts";

const CALLERS = 30;
/** Time that the entry is made to spend on each accepted connection, in ms. */
const ACCEPT_COST_MS = 20;
const DEADLINE_MS = 200;

function send(socket: Socket, path: string): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = "";
    socket.on("data", (chunk) => text += chunk);
    socket.on("close", () => resolve(text));
    socket.on("error", reject);
    socket.write(
      `GET ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncowslipferry-deadline-ms: ${DEADLINE_MS}\r\n\r\n`,
    );
  });
}

// Guards against deadlines that start only when the entry accepts a connection: the last of many callers that connect at once would be answered long after theirs.
test("time in the accept queue counts towards the deadline", async () => {
  const clock = createFakeClock();
  await withEntry(
    { clock, backends: [answer] },
    async ({ entry, backends }) => {
      const [host, port] = entry.address.split(":");
      entry.path.server.on("connection", () => clock.advance(ACCEPT_COST_MS));
      const sockets = Array.from(
        { length: CALLERS },
        () => connect(Number(port), host),
      );
      // Connects with the others, but sends its request later.
      const late = connect(Number(port), host);
      const texts = await Promise.all(
        sockets.map((socket, index) => send(socket, `/quoting/${index}`)),
      );
      const refused = texts.flatMap((text, index) =>
        text.includes("cowslipferry-outcome: not_run") ? [index] : []
      );
      assert.ok(refused.length >= CALLERS / 2, `${refused.length} refused`);
      assert.ok(refused.length < CALLERS - 2, `${refused.length} refused`);
      const run = new Set(backends[0]!.requests.map(({ path }) => path));
      for (const index of refused) {
        assert.match(texts[index]!, /"kind":"deadline_expired"/);
        assert.match(texts[index]!, /"retryAfterMs":[2-9]\d\d/);
        assert.match(texts[index]!, /retry-after: 1/);
        assert.not(run.has(`/quoting/${index}`), `${index} was run`);
      }
      assert.match(await send(late, "/quoting/late"), /outcome: answer/);
    },
  );
});

test.run();
