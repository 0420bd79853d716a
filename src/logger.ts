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

function wrap(base: PinoLogger, prefix: string): Logger {
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
  return (prefix) => wrap(base, prefix);
}

/** A logger that drops every line, for tests and offline commands. */
export const silentLogger: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
