import { z } from "zod";
import { messageOf, PlatformError } from "../errors.ts";
import { requestJson } from "./http_json.ts";
import { type VmList, vmSchema } from "./vm_list.ts";

const listSchema = z.object({ vms: z.array(vmSchema) });
const CALL_TIMEOUT_MS = 2_000;

/** Client of the VM list's HTTP protocol. */
export function createHttpVmList(baseUrl: string): VmList {
  return {
    async list(signal) {
      try {
        const response = await requestJson(`${baseUrl}/v1/vms`, {
          timeoutMs: CALL_TIMEOUT_MS,
          signal,
        });
        return listSchema.parse(response.body).vms;
      } catch (error) {
        throw new PlatformError(
          "vm_list",
          `The VM list did not answer: ${messageOf(error)}`,
        );
      }
    },
  };
}
