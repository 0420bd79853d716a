import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  respondWithPath,
  withEntry,
} from "../../testing/entry_with_backends.ts";
import { createFakeClock } from "../../testing/request_entry.ts";

/** Callers that the entry accepts before the delay. */
const EARLY_CALLER_COUNT = 10;
const CALLER_COUNT = 30;
const DEADLINE_MS = 200;
/** Delay between the accepts of the early and the other callers, in ms. */
const ACCEPT_DELAY_MS = 300;
/** Deadline of the early callers, in ms; never reached, however accepts and requests interleave. */
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

// Guards against deadlines that start only at the accept: the last of many callers that connect at once would be answered long after their deadline.
test("time in the accept queue counts towards the deadline", async () => {
  const clock = createFakeClock();
  await withEntry(
    { clock, backends: [respondWithPath] },
    async ({ entry, backends }) => {
      const [host, port] = entry.address.split(":");
      let accepted = 0;
      entry.proxy.server.on("connection", () => {
        accepted++;
        if (accepted === EARLY_CALLER_COUNT) clock.advance(ACCEPT_DELAY_MS);
      });
      const sockets = Array.from(
        { length: CALLER_COUNT },
        () => connect(Number(port), host),
      );
      // Connects with the others but sends its request later.
      const late = connect(Number(port), host);
      const responses = await Promise.all(
        sockets.map((socket, index) =>
          send(
            socket,
            `/quoting/${index}`,
            index < EARLY_CALLER_COUNT ? EARLY_DEADLINE_MS : DEADLINE_MS,
          )
        ),
      );
      const sentPaths = new Set(backends[0]!.requests.map(({ path }) => path));
      for (const [index, text] of responses.entries()) {
        if (index < EARLY_CALLER_COUNT) {
          assert.match(text, /outcome: answer/, `${index}`);
          continue;
        }
        assert.match(text, /outcome: not_run/, `${index}`);
        assert.match(text, /"kind":"deadline_expired"/);
        assert.match(text, /"retryAfterMs":[1-9]\d\d/);
        assert.match(text, /retry-after: 1/);
        assert.not(sentPaths.has(`/quoting/${index}`), `${index} was sent`);
      }
      assert.match(
        await send(late, "/quoting/late", DEADLINE_MS),
        /outcome: answer/,
      );
    },
  );
});

// Guards against connections that are lost or answered twice when they are held and released.
test("900 callers that connect at once each get one response", async () => {
  await withEntry({ backends: [respondWithPath] }, async ({ entry }) => {
    const [host, port] = entry.address.split(":");
    const responses = await Promise.all(
      Array.from({ length: 900 }, (_, index) =>
        send(
          connect(Number(port), host),
          `/quoting/${index}`,
          200 + (index * 611) % 1_500,
        )),
    );
    for (const text of responses) {
      assert.is(text.match(/HTTP\/1\.1 \d/g)?.length, 1, text);
      assert.match(text, /outcome: (answer|not_run|outcome_unknown)/);
    }
  });
});

// Guards against a deadline order that reorders the requests of one connection.
test("pipelined requests are sent in their order whatever their deadlines", async () => {
  await withEntry(
    { backends: [respondWithPath] },
    async ({ entry, backends }) => {
      const [host, port] = entry.address.split(":");
      const socket = connect(Number(port), host);
      socket.write(
        [5_000, 3_000, 4_000].map((deadlineMs, index) =>
          `POST /quoting/${index} HTTP/1.1\r\nhost: x\r\ncowslipferry-deadline-ms: ${deadlineMs}\r\n\r\n`
        ).join(""),
      );
      await send(socket, "/quoting/3", 2_000);
      assert.equal(
        backends[0]!.requests.map(({ path }) => path),
        [0, 1, 2, 3].map((index) => `/quoting/${index}`),
      );
    },
  );
});

test.run();
