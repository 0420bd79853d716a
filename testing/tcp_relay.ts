import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** A TCP relay in front of one address, to cut, hold and heal a link. */
export interface TcpRelay {
  /** `host:port` at which the relay listens. */
  readonly address: string;
  /** Resets all connections; new ones are reset right after they open. */
  cut(): void;
  /** Keeps connections open but passes no bytes on, in either direction. */
  hold(): void;
  /** Passes bytes on again, those held back included. */
  heal(): void;
  close(): Promise<void>;
}

interface Link {
  readonly client: Socket;
  readonly server: Socket;
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

  function start(link: Link): void {
    link.client.pipe(link.server);
    link.server.pipe(link.client);
  }

  function stop(link: Link): void {
    link.client.unpipe(link.server).pause();
    link.server.unpipe(link.client).pause();
  }

  function accept(client: Socket): void {
    client.on("error", () => {});
    if (state === "cut") {
      reset(client);
      return;
    }
    const server = connect({ host, port: Number(port) });
    const link: Link = { client, server };
    links.add(link);
    server.on("error", () => reset(client));
    const drop = () => {
      links.delete(link);
      client.destroy();
      server.destroy();
    };
    client.on("close", drop);
    server.on("close", drop);
    if (state === "passing") start(link);
    else stop(link);
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
    cut,
    hold() {
      state = "held";
      links.forEach(stop);
    },
    heal() {
      if (state === "held") links.forEach(start);
      state = "passing";
    },
    close() {
      cut();
      return new Promise((resolve) => listener.close(() => resolve()));
    },
  };
}
