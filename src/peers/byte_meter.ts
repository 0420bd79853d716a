import type { Socket } from "node:net";

/** Counts the bytes sent and received on a set of sockets, without TCP and IP headers. */
export interface ByteMeter {
  track(socket: Socket): void;
  /** Totals of all tracked sockets, including closed ones. */
  totals(): { sentBytes: number; receivedBytes: number };
}

/** Creates a meter that tracks no socket yet. */
export function createByteMeter(): ByteMeter {
  const open = new Set<Socket>();
  const closed = { sentBytes: 0, receivedBytes: 0 };
  return {
    track(socket) {
      open.add(socket);
      socket.once("close", () => {
        open.delete(socket);
        closed.sentBytes += socket.bytesWritten;
        closed.receivedBytes += socket.bytesRead;
      });
    },
    totals() {
      const totals = { ...closed };
      for (const socket of open) {
        totals.sentBytes += socket.bytesWritten;
        totals.receivedBytes += socket.bytesRead;
      }
      return totals;
    },
  };
}
