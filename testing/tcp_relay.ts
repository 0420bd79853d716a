import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Transform } from "node:stream";

/** A TCP relay in front of one address, to cut, hold and heal a link. */
export interface TcpRelay {
  /** `host:port` at which the relay listens. */
  readonly address: string;
  /** Resets all connections; new ones are reset right after they open. */
  disconnect(): void;
  /** Keeps connections open but passes no bytes on, in either direction. */
  pause(): void;
  /** Passes bytes in one direction only. */
  pauseOneWay(held: "to_target" | "to_client"): void;
  /** Silences the open connections for good, without a reset; new ones work. */
  stallOpenConnections(): void;
  /** Passes bytes on only after this time, in ms, on connections that open from now on; 0 passes them at once. */
  setDelay(ms: number): void;
  /** Passes bytes on again, those held back included. */
  restore(): void;
  close(): Promise<void>;
}

interface Link {
  readonly client: Socket;
  readonly server: Socket;
  readonly delayMs: number;
  /** Set once it passes nothing on for good. */
  stalled?: boolean;
}

/** Passes what it reads on after a time. */
function createDelayTransform(delayMs: number): Transform {
  return new Transform({
    transform(chunk, _encoding, callback) {
      setTimeout(() => callback(null, chunk), delayMs);
    },
  });
}

/** Resets a connection. One whose write side has ended can only be closed: a reset would leave its handle open in Node 20. */
function reset(socket: Socket): void {
  if (socket.writableEnded || socket.connecting) socket.destroy();
  else socket.resetAndDestroy();
}

/** Starts a relay to `host:port`. */
export async function startTcpRelay(target: string): Promise<TcpRelay> {
  const [host, port] = target.split(":");
  const links = new Set<Link>();
  let state: "passing" | "held" | "cut" = "passing";
  let delayMs = 0;

  function forward(from: Socket, to: Socket, linkDelayMs: number): void {
    if (linkDelayMs === 0) from.pipe(to);
    else from.pipe(createDelayTransform(linkDelayMs)).pipe(to);
  }

  function startForwarding(link: Link): void {
    if (link.stalled) return;
    forward(link.client, link.server, link.delayMs);
    forward(link.server, link.client, link.delayMs);
  }

  function stopForwarding(link: Link): void {
    link.client.unpipe().pause();
    link.server.unpipe().pause();
  }

  function accept(client: Socket): void {
    client.on("error", () => {});
    if (state === "cut") {
      reset(client);
      return;
    }
    const server = connect({ host, port: Number(port) });
    const link: Link = { client, server, delayMs };
    links.add(link);
    server.on("error", () => reset(client));
    const closeLink = () => {
      links.delete(link);
      client.destroy();
      server.destroy();
    };
    client.on("close", closeLink);
    server.on("close", closeLink);
    if (state === "passing") startForwarding(link);
    else stopForwarding(link);
  }

  function cut(): void {
    state = "cut";
    for (const link of links) {
      reset(link.client);
      reset(link.server);
    }
  }

  const listener = createServer(accept);
  await new Promise<void>((resolve, reject) => {
    listener.once("error", reject);
    listener.listen(0, "127.0.0.1", () => resolve());
  });
  return {
    address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
    disconnect: cut,
    pause() {
      state = "held";
      links.forEach(stopForwarding);
    },
    pauseOneWay(held) {
      for (const { client, server } of links) {
        const socket = held === "to_target" ? client : server;
        socket.unpipe().pause();
      }
      state = "held";
    },
    stallOpenConnections() {
      for (const link of links) {
        stopForwarding(link);
        link.stalled = true;
      }
    },
    setDelay(ms) {
      delayMs = ms;
    },
    restore() {
      delayMs = 0;
      if (state === "held") {
        for (const link of links) {
          // One direction may still be passing.
          stopForwarding(link);
          startForwarding(link);
        }
      }
      state = "passing";
    },
    close() {
      cut();
      return new Promise((resolve) => listener.close(() => resolve()));
    },
  };
}
