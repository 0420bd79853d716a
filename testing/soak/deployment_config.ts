import { SPARE_POOL } from "./fake_fleet.ts";
import type { SoakPlatform } from "./soak_platform.ts";

/** Queues of a soak run. */
export const QUEUES = [
  { name: "quotes", host: "quotes.example", prefix: "/quotes/", pool: "desk" },
  { name: "cuts", host: "cuts.example", prefix: "/cuts/", pool: "shop" },
];

/** Creates a function that writes the next version of the configuration to the store, with new keys for the workspaces. */
export function createConfigWriter(
  { store, workspaces }: Pick<SoakPlatform, "store" | "workspaces">,
): () => void {
  let configVersion = 1;
  return () => {
    store.write(
      "op/config",
      JSON.stringify({
        version: configVersion,
        routes: QUEUES.map(({ name, host, prefix, pool }) => ({
          name,
          host,
          prefix,
          service: pool,
          "max-attempts": 1_000,
          stretch: 2,
          "target-duration-ms": 600,
        })),
        services: [
          ...QUEUES.map(({ pool }) => ({ name: pool })),
          { name: SPARE_POOL, spare: true },
        ],
        limits: {},
        ...(workspaces === undefined
          ? {}
          : { tenants: workspaces.nextTenants() }),
      }),
    );
    configVersion += 3;
  };
}
