import { randomUUID } from "node:crypto";
import { type Operation, suspend } from "effection";
import { runConfigFollower } from "./config/follower.ts";
import { runController } from "./fleet/controller.ts";
import { runFleetFollower } from "./fleet/follower.ts";
import { useListeningServer } from "./http_server.ts";
import { runVmListPoller } from "./platform/vm_list_poller.ts";
import { createRequestPath } from "./requests/request_path.ts";
import type { ResolvedSettings } from "./settings/schema.ts";
import { createSupervisor } from "./supervisor.ts";
import { createEntryContainer, TOKENS } from "./wiring.ts";

/** Runs one entry process until it is halted. */
export function* runEntry(settings: ResolvedSettings): Operation<void> {
  const parts = createEntryContainer(settings);
  const loggers = parts.resolve(TOKENS.loggers);
  const store = parts.resolve(TOKENS.store);
  const clock = parts.resolve(TOKENS.clock);
  const config = parts.resolve(TOKENS.config);
  const fleet = parts.resolve(TOKENS.fleet);
  const vmList = parts.resolve(TOKENS.vmSnapshot);
  const contacts = parts.resolve(TOKENS.contacts);
  const incarnation = randomUUID();
  const { region } = settings;
  vmList.subscribe(() => contacts.touch("vm_list"));
  const supervisor = createSupervisor(loggers("supervisor"));

  yield* supervisor.start({
    name: "vm-list",
    run: () =>
      runVmListPoller({
        vmList: parts.resolve(TOKENS.vmList),
        snapshot: vmList,
        clock,
        log: loggers("vm-list"),
      }),
  });
  yield* supervisor.start({
    name: "config",
    run: () =>
      runConfigFollower({
        store,
        current: config,
        log: loggers("config"),
        onContact: () => contacts.touch("store"),
      }),
  });
  yield* supervisor.start({
    name: "fleet",
    run: () =>
      runFleetFollower({
        store,
        region,
        current: fleet,
        log: loggers("fleet"),
        onContact: () => contacts.touch("store"),
      }),
  });
  if (settings.roles.includes("controller")) {
    yield* supervisor.start({
      name: "controller",
      run: () =>
        runController({
          holder: settings.entryId,
          region,
          store,
          config,
          vmList,
          entries: parts.resolve(TOKENS.entries),
          workerAgent: parts.resolve(TOKENS.workerAgent),
          clock,
          log: loggers("controller"),
        }),
    });
  }
  if (settings.roles.includes("requests")) {
    const log = loggers("front");
    const requestPath = createRequestPath({
      settings,
      incarnation,
      config,
      fleet,
      vmList,
      entries: parts.resolve(TOKENS.entries),
      contacts,
      clock,
      log,
    });
    const address = yield* useListeningServer(
      requestPath.server,
      settings.listen.callers,
    );
    log.info(`listening on ${address}`, { address });
  }
  yield* suspend();
}
