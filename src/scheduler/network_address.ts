import { isIPv4 } from "node:net";
import { z } from "zod";

/** Highest TCP port. */
const MAXIMUM_PORT = 65_535;

/** Whether a text is an IPv4 address with a port to which a connection can be opened. */
export function isNetworkAddress(text: string): boolean {
  const [host = "", port = "", ...rest] = text.split(":");
  return rest.length === 0 && isIPv4(host) && /^\d{1,5}$/.test(port) &&
    Number(port) >= 1 && Number(port) <= MAXIMUM_PORT;
}

/** An IPv4 address with a port; clients of other texts can't be created. */
export const networkAddressSchema = z.string().refine(
  isNetworkAddress,
  "an IPv4 address with a port, such as 10.0.0.1:7000",
);
