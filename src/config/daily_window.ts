import type { DailyWindow } from "./schema.ts";

const DAY_MINUTES = 24 * 60;
const WEEKDAYS = ["sun", "mon", "tue", "wed", "thu", "fri", "sat"] as const;
const formatters = new Map<string, Intl.DateTimeFormat>();

function getFormatter(timeZone: string): Intl.DateTimeFormat {
  let formatter = formatters.get(timeZone);
  if (formatter === undefined) {
    formatter = new Intl.DateTimeFormat("en-GB", {
      timeZone,
      weekday: "short",
      hour: "2-digit",
      minute: "2-digit",
      hourCycle: "h23",
    });
    formatters.set(timeZone, formatter);
  }
  return formatter;
}

function toLocalTime(timeZone: string, atMs: number) {
  const parts = getFormatter(timeZone).formatToParts(atMs);
  const getPart = (type: string) =>
    parts.find((part) => part.type === type)?.value ?? "";
  const weekday = getPart("weekday").toLowerCase();
  return {
    dayIndex: WEEKDAYS.findIndex((day) => day === weekday),
    minute: Number(getPart("hour")) * 60 + Number(getPart("minute")),
  };
}

function parseMinuteOfDay(time: string): number {
  const [hours, minutes] = time.split(":");
  return Number(hours) * 60 + Number(minutes);
}

function isInWindow(window: DailyWindow, atMs: number): boolean {
  const { dayIndex, minute } = toLocalTime(window.timeZone, atMs);
  const from = parseMinuteOfDay(window.from);
  const to = parseMinuteOfDay(window.to);
  const includesDay = (index: number) => {
    const day = WEEKDAYS[(index + 7) % 7];
    return day !== undefined && window.days.includes(day);
  };
  if (from < to) return includesDay(dayIndex) && minute >= from && minute < to;
  // The window runs past midnight: it belongs to the day on which it starts.
  return (includesDay(dayIndex) && minute >= from && minute < DAY_MINUTES) ||
    (includesDay(dayIndex - 1) && minute < to);
}

/** Whether a time falls into one of the windows; an empty list allows any time. */
export function isWindowOpen(
  windows: readonly DailyWindow[],
  atMs: number,
): boolean {
  return windows.length === 0 ||
    windows.some((window) => isInWindow(window, atMs));
}

/** Share of a week that the windows cover, above 0 and at most 1; overlapping time counts twice. */
export function windowCoverage(windows: readonly DailyWindow[]): number {
  if (windows.length === 0) return 1;
  const minutes = windows.reduce((sum, { from, to, days }) => {
    const length = parseMinuteOfDay(to) - parseMinuteOfDay(from);
    return sum + days.length * (length > 0 ? length : length + DAY_MINUTES);
  }, 0);
  return Math.min(1, minutes / (7 * DAY_MINUTES));
}
