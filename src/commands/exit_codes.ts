/** Exit codes of the command line. */
export const EXIT_CODES = {
  success: 0,
  refused: 1,
  usage: 2,
  platformUnreachable: 3,
} as const;
