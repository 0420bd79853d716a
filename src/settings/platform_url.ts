import { isIPv4 } from "node:net";
import { z } from "zod";

function isPlatformUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  return url.protocol === "http:" && isIPv4(url.hostname) &&
    url.username === "" && url.password === "" && url.search === "" &&
    url.hash === "";
}

/** Schema of a platform service's base URL; strips trailing slashes, because paths are appended to it. */
export const platformUrl = z.string().refine(
  isPlatformUrl,
  "an http URL with an IPv4 address, such as http://10.0.0.5:8080",
).transform((text) => text.replace(/\/+$/, ""));
