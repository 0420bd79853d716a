import { type Logger as PinoLogger, pino } from "pino";

/** Severity threshold of the log. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** Log of one part; each line starts with the part's prefix. */
export interface Logger {
  debug(message: string, fields?: Record<string, unknown>): void;
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  error(message: string, fields?: Record<string, unknown>): void;
}

/** Creates loggers, one for each part. */
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

/** Creates the logger factory of a process; lines go to standard error as JSON. */
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

/** Bytes of log lines that are written together, in bytes. */
const WRITE_BUFFER_BYTES = 4_096;
/** Most bytes of lines that wait for a reader that doesn't keep up; later lines are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 524_288;
/** Longest time for which a line waits to be written, in ms. */
const FLUSH_INTERVAL_MS = 500;

/** Log of a process that must never wait for the reader of its lines. */
export interface BufferedLog {
  readonly loggers: LoggerFactory;
  /** Lines that were dropped because the reader didn't keep up. */
  droppedLines(): number;
  setLevel(level: LogLevel): void;
  /** Writes what waits; for the end of the process. */
  flush(): void;
}

/** Creates a log on standard output that buffers lines and drops them, counted, rather than block. */
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
  // An error of standard output can't be logged anywhere; the lines count as dropped.
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
        // The process ends and its reader is gone; there is nowhere to report it.
        dropped++;
      }
    },
  };
}

/** A logger that drops every line, for tests and offline commands. */
export const silentLogger: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
