import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  call,
  rawResponse,
  startRawBackend,
  startTestEntry,
  type TestEntry,
} from "../../testing/request_entry.ts";
import { createTestFleet } from "../../testing/request_fleet.ts";

const LIMITS = {
  maximumBodyBytes: 100_000,
  maximumHeaderBytes: 4_096,
  requestReadTimeoutMs: 200,
};

async function withEntry(
  check: (entry: TestEntry, sent: () => number) => Promise<void>,
): Promise<void> {
  const backend = await startRawBackend((socket, { path }) =>
    socket.write(rawResponse(path))
  );
  const entry = await startTestEntry({
    fleet: createTestFleet([backend.address]),
    limits: LIMITS,
  });
  try {
    await check(entry, () => backend.requests.length);
    const after = await call(entry, "/quoting/after");
    assert.is(after.text, "/quoting/after", "the entry still serves");
  } finally {
    await entry.close();
    backend.close();
  }
}

/** Sends raw input and returns everything received until the connection closes. */
async function sendRaw(
  entry: TestEntry,
  parts: readonly string[],
): Promise<string> {
  const [host, port] = entry.address.split(":");
  const socket = connect(Number(port), host);
  // The connection may be reset while a refused request is still being sent.
  const closed = new Promise((resolve) => socket.on("close", resolve));
  socket.on("error", () => {});
  let output = "";
  socket.on("data", (chunk) => output += chunk);
  for (const part of parts) {
    socket.write(part);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  await closed;
  return output;
}

const REQUEST_HEAD = "POST /quoting/1 HTTP/1.1\r\nhost: x\r\n";

const INVALID_INPUT: Record<string, [string[], number, string]> = {
  "oversized headers": [
    [`${REQUEST_HEAD}x-long: ${"x".repeat(8_000)}\r\n\r\n`],
    431,
    "headers_too_large",
  ],
  "an oversized announced body": [
    [`${REQUEST_HEAD}content-length: 200000\r\n\r\n`, "x".repeat(150_000)],
    413,
    "body_too_large",
  ],
  // Guards against a reset without the refusal when more than the largest body arrives before the refusal is sent.
  "an oversized announced body that arrives at once": [
    [`${REQUEST_HEAD}content-length: 400000\r\n\r\n${"x".repeat(350_000)}`],
    413,
    "body_too_large",
  ],
  "an oversized chunked body that arrives at once": [
    [
      `${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n${
        (400_000).toString(16)
      }\r\n${"x".repeat(350_000)}`,
    ],
    413,
    "body_too_large",
  ],
  "an oversized chunked body": [
    [
      `${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n`,
      `${(150_000).toString(16)}\r\n${"x".repeat(150_000)}\r\n0\r\n\r\n`,
    ],
    413,
    "body_too_large",
  ],
  "a body that arrives too slowly": [
    [`${REQUEST_HEAD}content-length: 10\r\n\r\n`, "x"],
    408,
    "slow_sender",
  ],
  "headers that arrive too slowly": [
    ["POST /quoting/1 HTTP/1.1\r\nhost:"],
    408,
    "slow_sender",
  ],
  "a content length that isn't a number": [
    [`${REQUEST_HEAD}content-length: ten\r\n\r\n`],
    400,
    "malformed_request",
  ],
  "two lengths": [
    [`${REQUEST_HEAD}content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n`],
    400,
    "malformed_request",
  ],
  "another transfer coding": [
    [
      `${REQUEST_HEAD}transfer-encoding: gzip, chunked\r\n\r\n`,
      "1\r\nx\r\n0\r\n\r\n",
    ],
    400,
    "malformed_request",
  ],
  "a malformed chunk": [
    [`${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n`, "zz\r\n"],
    400,
    "malformed_request",
  ],
  "a malformed chunk after a large one": [
    [
      `${REQUEST_HEAD}transfer-encoding: chunked\r\n\r\n`,
      `${(40_000).toString(16)}\r\n${"x".repeat(40_000)}\r\nzz\r\n`,
    ],
    400,
    "malformed_request",
  ],
  "bytes that aren't HTTP": [["hello\r\n\r\n"], 400, "malformed_request"],
  "CONNECT": [
    ["CONNECT example:80 HTTP/1.1\r\nhost: x\r\n\r\n"],
    405,
    "method_not_allowed",
  ],
};

for (const [name, [parts, status, kind]] of Object.entries(INVALID_INPUT)) {
  test(`${name} gets a typed error and isn't run`, () =>
    withEntry(async (entry, sent) => {
      const output = await sendRaw(entry, parts);
      assert.match(output, new RegExp(`HTTP/1.1 ${status} `));
      assert.match(output, /cowslipferry-outcome: not_run/);
      assert.match(output, new RegExp(`"kind":"${kind}"`));
      assert.is(output.split("HTTP/1.1").length, 2, "there is one response");
      assert.is(sent(), 0);
    }));
}

test("a caller that reads only after sending receives the refusal of its oversized body", () =>
  withEntry(async (entry) => {
    const [host, port] = entry.address.split(":");
    const socket = connect(Number(port), host);
    socket.pause();
    socket.write(`${REQUEST_HEAD}content-length: 400000\r\n\r\n`);
    for (let part = 0; part < 4; part++) {
      await new Promise((resolve) => setTimeout(resolve, 20));
      socket.write("x".repeat(100_000));
    }
    let output = "";
    socket.on("data", (chunk) => output += chunk);
    const ended = new Promise((resolve, reject) =>
      socket.on("end", resolve).on("error", reject)
    );
    socket.resume();
    await ended;
    assert.match(output, /body_too_large/);
    socket.destroy();
  }));

test("a request with an unknown expectation, or of HTTP/1.0 without a host, is served", () =>
  withEntry(async (entry) => {
    for (
      const head of [
        "GET /quoting/1 HTTP/1.1\r\nhost: x\r\nexpect: more\r\nconnection: close",
        "GET /quoting/1 HTTP/1.0",
      ]
    ) {
      const output = await sendRaw(entry, [`${head}\r\n\r\n`]);
      assert.match(output, /cowslipferry-outcome: answer/);
    }
  }));

// Guards against requests whose host an upstream proxy and this entry interpret differently (RFC 9112, section 3.2).
test("a request of HTTP/1.1 without a host, or with two, is refused and its connection closed", () =>
  withEntry(async (entry, sent) => {
    for (const hosts of ["", "host: x\r\nhost: y\r\n"]) {
      const output = await sendRaw(entry, [
        `GET /quoting/1 HTTP/1.1\r\n${hosts}\r\n`,
        "GET /quoting/2 HTTP/1.1\r\nhost: x\r\n\r\n",
      ]);
      assert.match(output, /^HTTP\/1.1 400 /);
      assert.match(output, /malformed_request/);
      assert.is(output.match(/HTTP\/1.1 /g)!.length, 1);
    }
    assert.is(sent(), 0);
  }));

// Guards against request smuggling: a body in an unknown coding that is parsed as a second request.
test("after a refused transfer coding the connection is closed", () =>
  withEntry(async (entry, sent) => {
    const output = await sendRaw(entry, [
      `${REQUEST_HEAD}transfer-encoding: gzip, chunked\r\n\r\n`,
      "0\r\n\r\nGET /quoting/2 HTTP/1.1\r\nhost: x\r\n\r\n",
    ]);
    assert.match(output, /^HTTP\/1.1 400 /);
    assert.is(output.match(/HTTP\/1.1 /g)!.length, 1);
    assert.is(sent(), 0);
  }));

// Guards against a path that is routed to one service and resolved by the backend server as another service's.
test("a path with dot segments is refused before routing", () =>
  withEntry(async (entry, sent) => {
    for (
      const path of [
        "/quoting/../cutshop/x",
        "/quoting/./x",
        "/quoting/..",
        "/quoting/%2e%2E/cutshop/x",
        "/quoting/a/.%2e?b",
      ]
    ) {
      const output = await sendRaw(entry, [
        `GET ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n`,
      ]);
      assert.match(output, /^HTTP\/1.1 400 /, path);
      assert.match(output, /invalid_path/, path);
    }
    assert.is(sent(), 0);
    const served = await call(entry, "/quoting/a..b/...?c=/../");
    assert.is(served.status, 200);
  }));

test("bytes after a request don't affect its response", () =>
  withEntry(async (entry, sent) => {
    const output = await sendRaw(entry, [
      `${REQUEST_HEAD}content-length: 2\r\n\r\nabcdef\r\n\r\n`,
    ]);
    assert.match(output, /^HTTP\/1.1 200 /);
    assert.match(output, /\/quoting\/1$/);
    assert.is(sent(), 1);
  }));

test("a request whose caller disconnects before the end of the body isn't sent", () =>
  withEntry(async (entry, sent) => {
    const [host, port] = entry.address.split(":");
    const socket = connect(Number(port), host);
    socket.write(`${REQUEST_HEAD}content-length: 10\r\n\r\nhalf`);
    await new Promise((resolve) => setTimeout(resolve, 50));
    socket.destroy();
    await new Promise((resolve) => setTimeout(resolve, 50));
    assert.is(sent(), 0);
    assert.is(entry.proxy.inFlight(), 0);
  }));

const INVALID_REQUESTS: [string, Record<string, string>, number, string][] = [
  ["/unknown/1", {}, 404, "unknown_service"],
  ["/", {}, 404, "unknown_service"],
  ["/.cowslipferry/other", {}, 404, "unknown_resource"],
  [
    "/quoting/1",
    { "cowslipferry-deadline-ms": "soon" },
    400,
    "invalid_deadline",
  ],
  ["/quoting/1", { "cowslipferry-deadline-ms": "0" }, 400, "invalid_deadline"],
  ["/quoting/1", { "idempotency-key": "key" }, 400, "malformed_key"],
];

test("unknown names and wrong header values get typed errors", () =>
  withEntry(async (entry, sent) => {
    for (const [path, headers, status, kind] of INVALID_REQUESTS) {
      const response = await call(entry, path, { headers });
      assert.is(response.outcome, "not_run", path);
      assert.is(response.status, status, path);
      assert.is(response.error, kind, path);
    }
    assert.is(sent(), 0);
  }));

test.run();
