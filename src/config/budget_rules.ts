import type { ValidationIssue } from "../errors.ts";
import { createIssue } from "../validation.ts";
import type { DeepPartial } from "../partial_parse.ts";
import type { DailyWindow, PartialPool } from "./schema.ts";
import { windowCoverage } from "./daily_window.ts";

const DAY_MS = 86_400_000;

function listAvailabilityIssues(
  pool: PartialPool,
  path: string,
): ValidationIssue[] {
  const { vms } = pool;
  const minimumServingVms = pool.availability?.minimumServingVms;
  const maximumLentVms = pool.lending?.maximumLentVms;
  if (vms === undefined || minimumServingVms === undefined) return [];
  if (minimumServingVms > vms) {
    return [createIssue(
      `${path}.availability.minimumServingVms`,
      minimumServingVms,
      `at most ${vms}, the pool's vms`,
    )];
  }
  return maximumLentVms === undefined ||
      maximumLentVms <= vms - minimumServingVms
    ? []
    : [createIssue(
      `${path}.lending.maximumLentVms`,
      maximumLentVms,
      `at most ${
        vms - minimumServingVms
      }, the pool's vms (${vms}) less its minimumServingVms (${minimumServingVms})`,
    )];
}

/** Share of the time in which maintenance may start; 1 if a window is invalid, since that is reported separately. */
function maintenanceWindowCoverage(
  windows: readonly (DeepPartial<DailyWindow> | undefined)[] = [],
): number {
  const complete = windows.filter((window): window is DailyWindow =>
    window?.from !== undefined && window.to !== undefined &&
    window.from !== window.to && window.days !== undefined &&
    !window.days.includes(undefined)
  );
  return complete.length < windows.length ? 1 : windowCoverage(complete);
}

function listMaintenanceIssues(
  pool: PartialPool,
  path: string,
): ValidationIssue[] {
  const { vms } = pool;
  const minimumServingVms = pool.availability?.minimumServingVms;
  const { periodDays, maximumConcurrentVms, vmMaintenanceMs } =
    pool.maintenance ?? {};
  if (
    vms === undefined || vms === 0 || minimumServingVms === undefined ||
    minimumServingVms > vms
  ) return [];
  if (minimumServingVms === vms) {
    return [createIssue(
      `${path}.availability.minimumServingVms`,
      minimumServingVms,
      `at most ${vms - 1}, so that one VM at a time can be maintained`,
    )];
  }
  if (
    periodDays === undefined || maximumConcurrentVms === undefined ||
    vmMaintenanceMs === undefined
  ) return [];
  const concurrentVms = Math.min(maximumConcurrentVms, vms - minimumServingVms);
  const neededDays = Math.ceil(vms / concurrentVms) * vmMaintenanceMs /
    DAY_MS / maintenanceWindowCoverage(pool.maintenance?.windows);
  return neededDays <= periodDays ? [] : [createIssue(
    `${path}.maintenance.periodDays`,
    periodDays,
    `at least ${Math.ceil(neededDays * 100) / 100}: ${vms} VMs, ` +
      `${concurrentVms} at a time, ${vmMaintenanceMs} ms each`,
  )];
}

function listWindowIssues(
  window: DeepPartial<DailyWindow> | undefined,
  path: string,
): ValidationIssue[] {
  const { from, to, days } = window ?? {};
  const repeated = (days ?? []).flatMap((day, index) =>
    day !== undefined && days?.indexOf(day) !== index
      ? [
        createIssue(`${path}.days[${index}]`, day, "a day that is listed once"),
      ]
      : []
  );
  return from === undefined || from !== to ? repeated : [
    ...repeated,
    createIssue(
      `${path}.to`,
      to,
      `a time other than ${from}, since the window would be empty; 00:00 to 24:00 is a whole day`,
    ),
  ];
}

/** Returns the violations in one pool's availability budget, maintenance and windows. */
export function listBudgetIssues(
  pool: PartialPool,
  path: string,
): ValidationIssue[] {
  return [
    ...listAvailabilityIssues(pool, path),
    ...listMaintenanceIssues(pool, path),
    ...(["lending", "maintenance"] as const).flatMap((section) =>
      (pool[section]?.windows ?? []).flatMap((window, index) =>
        listWindowIssues(window, `${path}.${section}.windows[${index}]`)
      )
    ),
  ];
}
