import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { answer, withEntry } from "../../testing/entry_with_backends.ts";
import { createFakeClock } from "../../testing/request_entry.ts";

/** Callers that the entry accepts before it is held up. */
const EARLY_CALLERS = 10;
const CALLERS = 30;
const DEADLINE_MS = 200;
/** Time for which the entry is held up, in ms. */
const HOLD_UP_MS = 300;
/** Deadline of the early callers, in ms; it isn't reached, however the accepted connections and their requests interleave. */
const EARLY_DEADLINE_MS = 5_000;

function send(
  socket: Socket,
  path: string,
  deadlineMs: number,
): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = "";
    socket.on("data", (chunk) => text += chunk);
    socket.on("close", () => resolve(text));
    socket.on("error", reject);
    socket.write(
      `GET ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncowslipferry-deadline-ms: ${deadlineMs}\r\n\r\n`,
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
      let accepted = 0;
      entry.path.server.on("connection", () => {
        accepted++;
        if (accepted === EARLY_CALLERS) clock.advance(HOLD_UP_MS);
      });
      const sockets = Array.from(
        { length: CALLERS },
        () => connect(Number(port), host),
      );
      // Connects with the others, but sends its request later.
      const late = connect(Number(port), host);
      const texts = await Promise.all(
        sockets.map((socket, index) =>
          send(
            socket,
            `/quoting/${index}`,
            index < EARLY_CALLERS ? EARLY_DEADLINE_MS : DEADLINE_MS,
          )
        ),
      );
      const run = new Set(backends[0]!.requests.map(({ path }) => path));
      for (const [index, text] of texts.entries()) {
        if (index < EARLY_CALLERS) {
          assert.match(text, /outcome: answer/, `${index}`);
          continue;
        }
        assert.match(text, /outcome: not_run/, `${index}`);
        assert.match(text, /"kind":"deadline_expired"/);
        assert.match(text, /"retryAfterMs":[1-9]\d\d/);
        assert.match(text, /retry-after: 1/);
        assert.not(run.has(`/quoting/${index}`), `${index} was run`);
      }
      assert.match(
        await send(late, "/quoting/late", DEADLINE_MS),
        /outcome: answer/,
      );
    },
  );
});

test.run();
