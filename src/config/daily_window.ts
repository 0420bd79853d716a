import type { DailyWindow } from "./schema.ts";

const DAY_MINUTES = 24 * 60;
const WEEKDAYS = ["sun", "mon", "tue", "wed", "thu", "fri", "sat"] as const;
const formatters = new Map<string, Intl.DateTimeFormat>();

function formatterOf(timeZone: string): Intl.DateTimeFormat {
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

function localTime(timeZone: string, atMs: number) {
  const parts = formatterOf(timeZone).formatToParts(atMs);
  const read = (type: string) =>
    parts.find((part) => part.type === type)?.value ?? "";
  const weekday = read("weekday").toLowerCase();
  return {
    dayIndex: WEEKDAYS.findIndex((day) => day === weekday),
    minute: Number(read("hour")) * 60 + Number(read("minute")),
  };
}

function minuteOfDay(time: string): number {
  const [hours, minutes] = time.split(":");
  return Number(hours) * 60 + Number(minutes);
}

function contains(window: DailyWindow, atMs: number): boolean {
  const { dayIndex, minute } = localTime(window.timeZone, atMs);
  const from = minuteOfDay(window.from);
  const to = minuteOfDay(window.to);
  const allows = (index: number) => {
    const day = WEEKDAYS[(index + 7) % 7];
    return day !== undefined && window.days.includes(day);
  };
  if (from < to) return allows(dayIndex) && minute >= from && minute < to;
  // The window runs past midnight: it belongs to the day on which it starts.
  return (allows(dayIndex) && minute >= from && minute < DAY_MINUTES) ||
    (allows(dayIndex - 1) && minute < to);
}

/** Whether a time is in one of the windows; always, without any. */
export function isWindowOpen(
  windows: readonly DailyWindow[],
  atMs: number,
): boolean {
  return windows.length === 0 ||
    windows.some((window) => contains(window, atMs));
}

/** Share of a week that the windows cover, from above 0 to 1; overlaps count twice. */
export function windowShare(windows: readonly DailyWindow[]): number {
  if (windows.length === 0) return 1;
  const minutes = windows.reduce((sum, { from, to, days }) => {
    const length = minuteOfDay(to) - minuteOfDay(from);
    return sum + days.length * (length > 0 ? length : length + DAY_MINUTES);
  }, 0);
  return Math.min(1, minutes / (7 * DAY_MINUTES));
}
