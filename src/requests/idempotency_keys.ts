import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Clock } from "../clock.ts";

/** Validity period of a key, in ms. */
export const KEY_LIFETIME_MS = 300_000;

/** Result of checking a key. */
export type KeyCheck =
  | { readonly kind: "malformed" }
  | {
    readonly kind: "other_issuer";
    readonly entryId: string;
    readonly incarnation: string;
  }
  | { readonly kind: "forged" }
  /** Issued by this entry; may have expired. */
  | {
    readonly kind: "own_issuer";
    readonly sequence: number;
    /** Monotonic expiry time, in ms. */
    readonly expiresAtMs: number;
  };

/** A key issued to a caller. */
export interface IssuedKey {
  readonly key: string;
  /** Wall-clock expiry time, in ms. */
  readonly expiresAtMs: number;
}

/** Issues idempotency keys and checks keys that callers send. */
export interface KeyIssuer {
  issue(): IssuedKey;
  check(key: string): KeyCheck;
}

const KEY_PATTERN =
  /^([A-Za-z0-9-]{1,63})\.([A-Za-z0-9-]{1,63})\.([0-9a-z]{1,11})\.([0-9a-z]{1,11})\.([A-Za-z0-9_-]{43})$/;

/** Creates the key issuer of one incarnation of an entry; the signing secret exists only in memory. */
export function createKeyIssuer(
  options: {
    readonly entryId: string;
    readonly incarnation: string;
    readonly clock: Clock;
  },
): KeyIssuer {
  const { entryId, incarnation, clock } = options;
  const secret = randomBytes(32);
  let nextSequence = 0;

  function sign(content: string): Buffer {
    return createHmac("sha256", secret).update(content).digest();
  }

  return {
    issue() {
      // Only the issuer checks the expiry, so the key can contain its monotonic time.
      const expiry = Math.floor(clock.monotonicMs() + KEY_LIFETIME_MS);
      const content = `${entryId}.${incarnation}.${
        (nextSequence++).toString(36)
      }.${expiry.toString(36)}`;
      return {
        key: `${content}.${sign(content).toString("base64url")}`,
        expiresAtMs: clock.wallMs() + KEY_LIFETIME_MS,
      };
    },
    check(key) {
      const match = KEY_PATTERN.exec(key);
      if (match === null) return { kind: "malformed" };
      const [, issuer, issuerIncarnation, sequence, expiry, signature] = match;
      if (issuer !== entryId || issuerIncarnation !== incarnation) {
        return {
          kind: "other_issuer",
          entryId: issuer!,
          incarnation: issuerIncarnation!,
        };
      }
      const expected = sign(key.slice(0, key.lastIndexOf(".")));
      const given = Buffer.from(signature!, "base64url");
      if (
        given.length !== expected.length || !timingSafeEqual(given, expected)
      ) return { kind: "forged" };
      return {
        kind: "own_issuer",
        sequence: Number.parseInt(sequence!, 36),
        expiresAtMs: Number.parseInt(expiry!, 36),
      };
    },
  };
}
