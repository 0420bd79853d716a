import { type Logger as PinoLogger, pino } from "pino";

/** Minimum severity of the lines that are logged. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** Logger of a component; each message starts with the component's prefix. */
export interface Logger {
  debug(message: string, fields?: Record<string, unknown>): void;
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  error(message: string, fields?: Record<string, unknown>): void;
}

/** Creates the logger with a prefix. */
export type LoggerFactory = (prefix: string) => Logger;

function createPrefixedLogger(base: PinoLogger, prefix: string): Logger {
  return {
    debug: (message, fields = {}) =>
      base.debug(fields, `${prefix}: ${message}`),
    info: (message, fields = {}) => base.info(fields, `${prefix}: ${message}`),
    warn: (message, fields = {}) => base.warn(fields, `${prefix}: ${message}`),
    error: (message, fields = {}) =>
      base.error(fields, `${prefix}: ${message}`),
  };
}

/** Creates the logger factory of a process; it writes JSON lines to standard error. */
export function createLoggerFactory(
  level: LogLevel,
  processId: string,
): LoggerFactory {
  const base = pino(
    { level, base: { process: processId } },
    pino.destination(2),
  );
  return (prefix) => createPrefixedLogger(base, prefix);
}

/** Buffer size above which the lines are written, in bytes. */
const WRITE_BUFFER_BYTES = 4_096;
/** Maximum size of the buffer while the reader is too slow, in bytes; further lines are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 524_288;
/** Maximum time that a line stays in the buffer, in ms. */
const FLUSH_INTERVAL_MS = 500;

/** Log that never blocks the process on the reader of its lines. */
export interface BufferedLog {
  readonly loggers: LoggerFactory;
  /** Number of lines dropped because the reader was too slow. */
  droppedLines(): number;
  setLevel(level: LogLevel): void;
  /** Writes the buffered lines synchronously; call it before the process exits. */
  flush(): void;
}

/** Creates a log on standard output that buffers lines and, rather than block, drops and counts them. */
export function createBufferedLog(
  level: LogLevel,
  processId: string,
): BufferedLog {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_BUFFER_BYTES,
    maxLength: MAXIMUM_BUFFERED_BYTES,
  });
  let dropped = 0;
  let reportedDrops = 0;
  destination.on("drop", () => dropped++);
  // A failure of standard output can't be logged; it is counted as a dropped line.
  destination.on("error", () => dropped++);
  const base = pino({ level, base: { process: processId } }, destination);
  const timer = setInterval(() => {
    if (dropped > reportedDrops) {
      base.warn({ lines: dropped - reportedDrops }, "log: lines were dropped");
      reportedDrops = dropped;
    }
    destination.flush();
  }, FLUSH_INTERVAL_MS);
  timer.unref();
  return {
    loggers: (prefix) => createPrefixedLogger(base, prefix),
    setLevel(next) {
      base.level = next;
    },
    droppedLines: () => dropped,
    flush() {
      try {
        destination.flushSync();
      } catch {
        // The process is exiting and its reader is gone, so the failure can't be reported.
        dropped++;
      }
    },
  };
}

/** A logger that discards all lines, for tests and offline commands. */
export const silentLogger: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
