import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

/** Clients that send without reading the responses. */
export interface AbusiveClients {
  /** Number of connections that are still open. */
  readonly open: number;
  close(): void;
}

/** What a group of abusive clients does. */
export interface AbusiveClientsOptions {
  /** `host:port`. */
  readonly address: string;
  readonly connections: number;
  /** Yields the bytes that one connection sends, in order. */
  readonly createInput: (connection: number) => Iterable<string>;
  /** Pause between two pieces of the input, in ms; none by default. */
  readonly intervalMs?: number;
}

/** Time without progress after which a connection's input counts as sent, in ms. */
const STALLED_AFTER_MS = 2_000;

/** Resolves once the socket can take more data, is closed, or has made no progress for `STALLED_AFTER_MS`. */
function waitUntilWritable(socket: Socket): Promise<"writable" | "stalled"> {
  return new Promise((resolve) => {
    let writtenBytes = socket.bytesWritten - socket.writableLength;
    const finish = (result: "writable" | "stalled") => {
      clearInterval(timer);
      socket.off("drain", onDrain).off("close", onClose);
      resolve(result);
    };
    const onDrain = () => finish("writable");
    const onClose = () => finish("stalled");
    const timer = setInterval(() => {
      const nowWrittenBytes = socket.bytesWritten - socket.writableLength;
      if (nowWrittenBytes === writtenBytes) finish("stalled");
      writtenBytes = nowWrittenBytes;
    }, STALLED_AFTER_MS);
    socket.once("drain", onDrain).once("close", onClose);
  });
}

async function sendInput(
  socket: Socket,
  input: Iterable<string>,
  intervalMs: number,
): Promise<void> {
  for (const piece of input) {
    if (socket.destroyed) return;
    if (!socket.write(piece, "latin1")) {
      if (await waitUntilWritable(socket) === "stalled") return;
    }
    if (intervalMs > 0) await delay(intervalMs);
  }
}

/** Resolves once the socket is connected or closed, or after `STALLED_AFTER_MS`. */
function waitUntilConnected(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, STALLED_AFTER_MS);
    const finish = () => {
      clearTimeout(timer);
      resolve();
    };
    socket.once("connect", finish).once("close", finish);
  });
}

/** Opens all connections, then sends their input; resolves once each has sent it, is closed or is stalled. */
export async function startAbusiveClients(
  options: AbusiveClientsOptions,
): Promise<AbusiveClients> {
  const [host, port] = options.address.split(":");
  const sockets: Socket[] = [];
  for (let index = 0; index < options.connections; index++) {
    const socket = connect({ host, port: Number(port) });
    // Without a data listener the responses stay unread.
    socket.pause();
    socket.on("error", () => {});
    sockets.push(socket);
  }
  await Promise.all(sockets.map(waitUntilConnected));
  await Promise.all(
    sockets.map((socket, index) =>
      sendInput(socket, options.createInput(index), options.intervalMs ?? 0)
    ),
  );
  return {
    get open() {
      return sockets.filter(({ destroyed }) => !destroyed).length;
    },
    close() {
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Yields a request with a chunked body that never ends. */
export function* createUnfinishedBody(
  { head, chunkBytes, bodyBytes }: {
    /** Request line and headers, each line with its CRLF. */
    readonly head: string;
    readonly chunkBytes: number;
    readonly bodyBytes: number;
  },
): Generator<string> {
  yield `${head}transfer-encoding: chunked\r\n\r\n`;
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  const chunksPerPiece = Math.max(1, Math.floor(16_384 / chunk.length));
  const piece = chunk.repeat(chunksPerPiece);
  const pieceBytes = chunksPerPiece * chunkBytes;
  for (let sent = 0; sent + pieceBytes <= bodyBytes; sent += pieceBytes) {
    yield piece;
  }
}

/** Yields pipelined requests in pieces of at least `pieceBytes`, 64 KiB by default. */
export function* createPipeline(
  { count, createRequest, pieceBytes = 65_536 }: {
    readonly count: number;
    readonly createRequest: (index: number) => string;
    readonly pieceBytes?: number;
  },
): Generator<string> {
  let piece = "";
  for (let index = 0; index < count; index++) {
    piece += createRequest(index);
    if (piece.length < pieceBytes) continue;
    yield piece;
    piece = "";
  }
  yield piece;
}

/** Yields a request head that grows by one header line at a time and never ends. */
export function* createUnfinishedHead(
  requestLine: string,
  lines: number,
): Generator<string> {
  yield `${requestLine}\r\nhost: quotes.example\r\n`;
  for (let line = 0; line < lines; line++) yield `x-line-${line}: x\r\n`;
}
