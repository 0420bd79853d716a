/** Program version printed by `--version`. */
export const VERSION = "0.1.0";

/** Maximum size of a value in the platform's store, in bytes. */
export const MAXIMUM_STORE_VALUE_BYTES = 1_000_000;

/** Store key of the applied configuration. */
export const CONFIG_KEY = "config";

/** Response header that distinguishes the three outcomes of a request. */
export const OUTCOME_HEADER = "cowslipferry-outcome";

/** Header with the request id, sent to the backend server and to the caller. */
export const REQUEST_ID_HEADER = "cowslipferry-request-id";

/** Request header with the time left until the caller's deadline, in milliseconds. */
export const DEADLINE_HEADER = "cowslipferry-deadline-ms";

/** Response header with which a backend server announces that it accepts no new work. */
export const LEAVING_HEADER = "cowslipferry-leaving";

/** Request header with an idempotency key issued by an entry. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Path prefix reserved for the system's own resources on the callers' port. */
export const SYSTEM_PATH_PREFIX = "/.cowslipferry/";

/** Time without contact to store, peers and VM list after which an entry refuses new work, in ms. */
export const ISOLATION_LIMIT_MS = 5_000;

/** Polling interval of the VM list after a change or a failure, in ms. */
export const VM_LIST_POLL_INTERVAL_MS = 1_000;

/**
 * Polling interval of the VM list while it is unchanged, in ms. A VM that is
 * listed as leaving must get no new work after 3 s; half of that time is left
 * for the response.
 */
export const VM_LIST_IDLE_POLL_INTERVAL_MS = 1_500;

/**
 * Long-poll duration of a store watch, in ms. Each response counts as contact,
 * so it must be shorter than the isolation limit.
 */
export const STORE_WATCH_WAIT_MS = 3_000;

/** Timeout of a store call, in ms. */
export const STORE_CALL_TIMEOUT_MS = 2_000;

/** Header with the id of the entry that forwarded a keyed request to the issuer of its idempotency key. */
export const FORWARDED_BY_HEADER = "cowslipferry-forwarded-by";

/** IPv4 wildcard address; a server bound to it listens on all interfaces. */
export const ANY_HOST = "0.0.0.0";

/** Default time without a response after which a worker counts as unreachable, in ms. */
export const UNREACHABLE_AFTER_MS = 30_000;
/** Default minimum pause of maintenance after correlated failures, in ms. */
export const WAVE_PAUSE_MS = 300_000;
