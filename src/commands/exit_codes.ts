/** Exit codes of the command line. */
export const EXIT_CODES = {
  success: 0,
  /** The command failed or was refused, for example because a file is invalid. */
  refused: 1,
  /** Wrong command-line usage. */
  usage: 2,
  /** The platform can't be reached, or the outcome is unknown. */
  platformUnreachable: 3,
} as const;
