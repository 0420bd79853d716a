import { request as sendRequest } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { waitFor } from "../../testing/wait.ts";
import {
  call,
  rawResponse,
  startRawBackend,
  startTestEntry,
  type TestEntry,
} from "../../testing/request_entry.ts";
import { createTestFleet } from "../../testing/request_fleet.ts";

type Respond = Parameters<typeof startRawBackend>[0];

async function withBackend(
  respond: Respond,
  check: (
    entry: TestEntry,
    backend: Awaited<ReturnType<typeof startRawBackend>>,
  ) => Promise<void>,
): Promise<void> {
  const backend = await startRawBackend(respond);
  const entry = await startTestEntry({
    fleet: createTestFleet([backend.address], {
      service: { slotsPerInstance: 1 },
    }),
  });
  try {
    await check(entry, backend);
  } finally {
    await entry.close();
    backend.close();
  }
}

const INVALID_RESPONSES: Record<string, Respond> = {
  "a truncated body with a length": (socket) =>
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf"),
  "a truncated chunked body": (socket) =>
    socket.end(
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ),
  "a truncated chunked body on a closing connection": (socket) =>
    socket.end(
      "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ),
  "a body that ends with its connection": (socket) =>
    socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf"),
  "a reset in the middle of a response": (socket) => {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
  "a response with another request's id": (socket) =>
    socket.write(rawResponse("other", "cowslipferry-request-id: other\r\n")),
  "bytes that aren't HTTP": (socket) => socket.write("220 ready\r\n\r\n"),
};

for (const [name, respond] of Object.entries(INVALID_RESPONSES)) {
  test(`${name} isn't forwarded as a complete response`, () =>
    withBackend(respond, async (entry, backend) => {
      const response = await call(entry, "/quoting/1", {
        method: "POST",
        body: "order",
      });
      assert.is(response.outcome, "outcome_unknown");
      assert.is(response.status, 502);
      assert.is(backend.requests.length, 1);
    }));
}

test("a late response isn't used as the response to the next request", () =>
  withBackend((socket, request) => {
    const delayMs = request.path.endsWith("late") ? 150 : 0;
    setTimeout(() => socket.write(rawResponse(request.path)), delayMs);
  }, async (entry, backend) => {
    const late = await call(entry, "/quoting/late", {
      headers: { "cowslipferry-deadline-ms": "50" },
    });
    assert.is(late.status, 504);
    assert.is(late.outcome, "outcome_unknown");
    for (let index = 0; index < 20; index++) {
      const response = await call(entry, `/quoting/${index}`);
      assert.is(response.text, `/quoting/${index}`);
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    assert.is(backend.connections, 2);
  }));

// Guards against callers that retry a non-idempotent request, such as a booking, because of a Retry-After header.
test("an unknown outcome has a Retry-After header only if a retry is safe", () =>
  withBackend(() => {}, async (entry) => {
    const late = async (method: string) => {
      // The entry must have sent the request by then, also on a busy machine.
      const response = await call(entry, "/quoting/late", {
        method,
        headers: { "cowslipferry-deadline-ms": "1000" },
      });
      assert.is(response.outcome, "outcome_unknown");
      return response.headers["retry-after"];
    };
    assert.ok(Number(await late("GET")) >= 1);
    assert.is(await late("POST"), undefined);
  }));

test("unsolicited bytes after a response don't reach another request", () =>
  withBackend((socket, { path }) => {
    socket.write(rawResponse(path) + rawResponse("unsolicited"));
  }, async (entry) => {
    for (let index = 0; index < 20; index++) {
      const response = await call(entry, `/quoting/${index}`);
      assert.is(response.text, `/quoting/${index}`);
    }
  }));

test("a response without a request id is rejected once the server has echoed one", () =>
  withBackend((socket, { path, requestId }) => {
    socket.write(
      path.endsWith("first")
        ? rawResponse(path, `cowslipferry-request-id: ${requestId}\r\n`)
        : rawResponse("unsolicited"),
    );
  }, async (entry) => {
    assert.is((await call(entry, "/quoting/first")).outcome, "answer");
    const second = await call(entry, "/quoting/second");
    assert.is(second.outcome, "outcome_unknown");
  }));

const LARGE_BODY = "0123456789".repeat(300_000);

test("a large response is streamed unchanged", () =>
  withBackend((socket, { path }) => {
    if (path.endsWith("chunked")) {
      const size = LARGE_BODY.length.toString(16);
      socket.write(
        `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${size}\r\n${LARGE_BODY}\r\n0\r\n\r\n`,
      );
    } else socket.write(rawResponse(LARGE_BODY));
  }, async (entry) => {
    for (const path of ["/quoting/chunked", "/quoting/length"]) {
      const response = await call(entry, path);
      assert.is(response.outcome, "answer");
      assert.ok(response.text === LARGE_BODY, "the body is unchanged");
    }
    assert.is(entry.proxy.load().services.quoting!.inFlight, 0);
  }));

test("a truncated streamed response ends with a connection reset", () =>
  withBackend((socket, { path }) => {
    const half = LARGE_BODY.slice(0, LARGE_BODY.length / 2);
    socket.end(
      path.endsWith("chunked")
        ? `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${
          LARGE_BODY.length.toString(16)
        }\r\n${half}`
        : `HTTP/1.1 200 OK\r\ncontent-length: ${LARGE_BODY.length}\r\n\r\n${half}`,
    );
  }, async (entry) => {
    for (const path of ["/quoting/chunked", "/quoting/length"]) {
      const failure = await call(entry, path).then(() => undefined, (e) => e);
      assert.instance(failure, Error);
    }
    await waitFor("the slots are released", () => entry.proxy.inFlight() === 0);
  }));

const RESPONSES_WITHOUT_BODY: Record<string, [string, string, number]> = {
  "HEAD": ["HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", 200],
  "204": ["DELETE", "HTTP/1.1 204 No Content\r\n\r\n", 204],
  "304": ["GET", "HTTP/1.1 304 Not Modified\r\netag: x\r\n\r\n", 304],
  "an early hint": [
    "GET",
    "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    200,
  ],
};

for (
  const [name, [method, bytes, status]] of Object.entries(
    RESPONSES_WITHOUT_BODY,
  )
) {
  test(`a response without a body is complete: ${name}`, () =>
    withBackend((socket) => socket.write(bytes), async (entry) => {
      for (let repeat = 0; repeat < 3; repeat++) {
        const response = await call(entry, "/quoting/1", { method });
        assert.is(response.outcome, "answer");
        assert.is(response.status, status);
        assert.is(response.text, "");
      }
    }));
}

test("a large request body is forwarded unchanged, also after 100 Continue", () =>
  withBackend((socket, { body }) => {
    socket.write(rawResponse(String(body === LARGE_BODY)));
  }, async (entry) => {
    for (const headers of [{}, { expect: "100-continue" }]) {
      const response = await new Promise<string>((resolve, reject) => {
        const [host, port] = entry.address.split(":");
        const request = sendRequest({
          host,
          port,
          method: "PATCH",
          path: "/quoting/1",
          headers: { ...headers, "transfer-encoding": "chunked" },
        }, (reply) => {
          reply.on("data", (chunk) => resolve(String(chunk)));
        }).on("error", reject);
        request.end(LARGE_BODY);
      });
      assert.is(response, "true");
    }
  }));

test("hop-by-hop headers are dropped, repeated headers are kept", () =>
  withBackend((socket) => {
    socket.write(
      rawResponse(
        "x",
        "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Latin: caf\xe9\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\nCowslipferry-Outcome: forged\r\n",
      ),
      "latin1",
    );
  }, async (entry, backend) => {
    const response = await call(entry, "/quoting/1?q=1", {
      method: "PURGE",
      headers: {
        "x-kept": "1",
        "proxy-authorization": "secret",
        "cowslipferry-request-id": "id-1",
      },
    });
    assert.is(response.outcome, "answer");
    assert.equal(response.headers["set-cookie"], ["a=1", "b=2"]);
    assert.is(response.headers["x-hop"], undefined);
    assert.is(response.headers["x-latin"], "caf\xe9");
    assert.is(response.headers["cowslipferry-request-id"], "id-1");
    const { head } = backend.requests[0]!;
    assert.match(head, /^PURGE \/quoting\/1\?q=1 HTTP/);
    assert.match(head, /x-kept: 1/);
    assert.match(head, /cowslipferry-request-id: id-1/);
    assert.not.match(head, /secret/);
  }));

test.run();
