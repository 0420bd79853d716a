import process from "node:process";
import { type Operation, resource } from "effection";

/**
 * Passes errors that nothing has handled to `onError` for the lifetime of the
 * current scope, instead of ending the process.
 */
export function useErrorGuard(
  onError: (error: unknown) => void,
): Operation<void> {
  return resource(function* (provide) {
    process.on("uncaughtException", onError);
    process.on("unhandledRejection", onError);
    try {
      yield* provide();
    } finally {
      process.off("uncaughtException", onError);
      process.off("unhandledRejection", onError);
    }
  });
}
