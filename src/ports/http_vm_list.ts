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

/**
 * Creates a client of the VM list's HTTP protocol. If the server sends entity
 * tags, an unchanged list isn't transferred again.
 */
export function createHttpVmList(baseUrl: string): VmList {
  let cached: CachedList | undefined;

  function parseList(response: JsonResponse): readonly Vm[] {
    if (response.status === 304 && cached !== undefined) return cached.vms;
    if (response.status !== 200) {
      throw new PlatformError(
        "vm_list",
        `VM list service responded with status ${response.status}`,
      );
    }
    const result = listSchema.safeParse(response.body);
    if (!result.success) {
      throw new PlatformError(
        "vm_list",
        "VM list doesn't match the expected schema",
      );
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
          `VM list request failed: ${messageOf(error)}`,
        );
      }
      return parseList(response);
    },
  };
}
