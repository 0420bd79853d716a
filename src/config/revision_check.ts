import { TaggedError } from "../errors.ts";

/** Highest applied revision that a live entry knows. */
export interface KnownRevision {
  readonly revision: number;
  readonly entryId: string;
}

/**
 * Thrown when the store holds an older configuration than the entries, which ignore revisions up to
 * their own; nothing was written.
 */
export class StoreBehindError extends TaggedError<"store_behind"> {
  readonly kind = "store_behind";

  constructor(
    readonly storeRevision: number,
    readonly highestKnown: KnownRevision,
  ) {
    const { revision, entryId } = highestKnown;
    super(
      `The store holds configuration revision ${storeRevision}, but revision ` +
        `${revision} is in force at entry ${entryId}; the store may have been ` +
        `restored. Entries would ignore revision ${storeRevision + 1}. ` +
        `Apply the complete configuration file with ` +
        `--above-revision ${revision}, which writes revision ${revision + 1}`,
    );
  }

  override toJSON() {
    const { storeRevision, highestKnown } = this;
    return {
      ...super.toJSON(),
      storeRevision,
      entryRevision: highestKnown.revision,
      entryId: highestKnown.entryId,
    };
  }
}

/** Revisions that an apply checks in addition to the stored one. */
export interface RevisionBounds {
  /** Undefined if no entry could be queried. */
  readonly highestKnown?: KnownRevision;
  /** Revision given by the operator; the next one is written above it. */
  readonly aboveRevision?: number;
}

/** How an apply continues from the stored revision. */
export type RevisionCheck =
  /** `base` is the revision to increment; it is higher than the stored one after a restore. */
  | { readonly kind: "proceed"; readonly base: number }
  /** The stored revision is above the one that the operator gave. */
  | { readonly kind: "store_ahead"; readonly aboveRevision: number }
  /** A live entry knows a higher revision than the base, so it would ignore the apply. */
  | { readonly kind: "behind"; readonly highestKnown: KnownRevision };

/** Checks the stored revision against those of the entries and the operator. */
export function checkRevisions(
  storeRevision: number,
  { highestKnown, aboveRevision }: RevisionBounds,
): RevisionCheck {
  const base = Math.max(storeRevision, aboveRevision ?? 0);
  if (highestKnown !== undefined && highestKnown.revision > base) {
    return { kind: "behind", highestKnown };
  }
  return aboveRevision !== undefined && storeRevision > aboveRevision
    ? { kind: "store_ahead", aboveRevision }
    : { kind: "proceed", base };
}
