import { TaggedError } from "../errors.ts";

/** Highest revision that a live entry knows to have been applied. */
export interface KnownRevision {
  readonly revision: number;
  readonly entryId: string;
}

/** The store holds an older configuration than the entries, which ignore revisions up to their own; nothing was written. */
export class StoreBehindError extends TaggedError<"store_behind"> {
  readonly kind = "store_behind";

  constructor(
    readonly storeRevision: number,
    readonly known: KnownRevision,
  ) {
    const { revision, entryId } = known;
    super(
      `The store holds configuration revision ${storeRevision}, but revision ` +
        `${revision} is in force at entry ${entryId}, as after a restore of ` +
        `the store; entries would ignore revision ${storeRevision + 1}. ` +
        `Apply the complete file that is to be in force with ` +
        `--above-revision ${revision}, which writes revision ${revision + 1}`,
    );
  }

  override toJSON() {
    const { storeRevision, known } = this;
    return {
      ...super.toJSON(),
      storeRevision,
      entryRevision: known.revision,
      entryId: known.entryId,
    };
  }
}

/** What an apply knows of revisions besides the store's. */
export interface RevisionBounds {
  /** Undefined when no entry could be asked. */
  readonly known?: KnownRevision;
  /** Revision given by the operator, above which the next one is written. */
  readonly aboveRevision?: number;
}

/** How an apply goes on from the revision in the store. */
export type RevisionCheck =
  /** `base` is the revision after which the next one counts; higher than the store's after a restore. */
  | { readonly kind: "proceed"; readonly base: number }
  /** The store has passed the revision that the operator gave. */
  | { readonly kind: "passed"; readonly aboveRevision: number }
  | { readonly kind: "behind"; readonly known: KnownRevision };

/** Checks the store's revision against the entries' and the operator's. */
export function checkRevisions(
  storeRevision: number,
  { known, aboveRevision }: RevisionBounds,
): RevisionCheck {
  const base = Math.max(storeRevision, aboveRevision ?? 0);
  if (known !== undefined && known.revision > base) {
    return { kind: "behind", known };
  }
  return aboveRevision !== undefined && storeRevision > aboveRevision
    ? { kind: "passed", aboveRevision }
    : { kind: "proceed", base };
}
