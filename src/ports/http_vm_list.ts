import { z } from "zod";
import { messageOf, PlatformError } from "../errors.ts";
import { type JsonResponse, requestJson } from "./http_json.ts";
import { type Vm, type VmList, vmSchema } from "./vm_list.ts";

const listSchema = z.object({ vms: z.array(vmSchema) });
const CALL_TIMEOUT_MS = 2_000;

interface CachedList {
  readonly etag: string;
  readonly vms: readonly Vm[];
}

/** Client of the VM list's HTTP protocol; an unchanged list is answered without a body if the server gives entity tags. */
export function createHttpVmList(baseUrl: string): VmList {
  let cached: CachedList | undefined;

  function parseList(response: JsonResponse): readonly Vm[] {
    if (response.status === 304 && cached !== undefined) return cached.vms;
    if (response.status !== 200) {
      throw new PlatformError(
        "vm_list",
        `The VM list answered with status ${response.status}`,
      );
    }
    const result = listSchema.safeParse(response.body);
    if (!result.success) {
      throw new PlatformError("vm_list", "The VM list has an unknown form");
    }
    const { vms } = result.data;
    const { etag } = response;
    cached = etag === undefined ? undefined : { etag, vms };
    return vms;
  }

  return {
    async list(signal) {
      let response: JsonResponse;
      try {
        response = await requestJson(`${baseUrl}/v1/vms`, {
          timeoutMs: CALL_TIMEOUT_MS,
          ifNoneMatch: cached?.etag,
          signal,
        });
      } catch (error) {
        throw new PlatformError(
          "vm_list",
          `The VM list did not answer: ${messageOf(error)}`,
        );
      }
      return parseList(response);
    },
  };
}
