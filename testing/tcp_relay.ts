import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Transform } from "node:stream";

/** A TCP relay in front of one address, which can disconnect, pause, delay and restore the link. */
export interface TcpRelay {
  /** `host:port` at which the relay listens. */
  readonly address: string;
  /** Resets all connections, and new ones right after they open. */
  disconnect(): void;
  /** Keeps connections open but forwards no bytes in either direction. */
  pause(): void;
  /** Stops forwarding open connections in one direction; new connections are paused in both directions. */
  pauseOneWay(direction: "to_target" | "to_client"): void;
  /** Permanently stops forwarding open connections, without a reset; new ones work. */
  stallOpenConnections(): void;
  /** Delays the bytes of connections that open from now on, in ms; 0 forwards them immediately. */
  setDelay(ms: number): void;
  /** Forwards bytes again, including those that were held back, and removes the delay for new connections. */
  restore(): void;
  /** Resets all connections and stops listening. */
  close(): Promise<void>;
}

interface Link {
  readonly client: Socket;
  readonly server: Socket;
  readonly delayMs: number;
  /** Whether the link has permanently stopped forwarding. */
  stalled?: boolean;
}

/** Creates a stream that forwards each chunk after a delay. */
function createDelayTransform(delayMs: number): Transform {
  return new Transform({
    transform(chunk, _encoding, callback) {
      setTimeout(() => callback(null, chunk), delayMs);
    },
  });
}

/**
 * Resets a connection. A connection whose write side has ended is only closed,
 * because a reset would leave its handle open in Node 20.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded || socket.connecting) socket.destroy();
  else socket.resetAndDestroy();
}

/** Starts a relay to `host:port`. */
export async function startTcpRelay(target: string): Promise<TcpRelay> {
  const [host, port] = target.split(":");
  const links = new Set<Link>();
  let state: "forwarding" | "paused" | "disconnected" = "forwarding";
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
    if (state === "disconnected") {
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
    if (state === "forwarding") startForwarding(link);
    else stopForwarding(link);
  }

  function disconnect(): void {
    state = "disconnected";
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
    disconnect,
    pause() {
      state = "paused";
      links.forEach(stopForwarding);
    },
    pauseOneWay(direction) {
      for (const { client, server } of links) {
        const socket = direction === "to_target" ? client : server;
        socket.unpipe().pause();
      }
      state = "paused";
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
      if (state === "paused") {
        for (const link of links) {
          // One direction may still be forwarding.
          stopForwarding(link);
          startForwarding(link);
        }
      }
      state = "forwarding";
    },
    close() {
      disconnect();
      return new Promise((resolve) => listener.close(() => resolve()));
    },
  };
}
