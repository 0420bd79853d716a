/** Version of the program. */
export const VERSION = "0.1.0";

/** Largest value that the platform's store holds, in bytes. */
export const MAXIMUM_STORE_VALUE_BYTES = 1_000_000;

/** Store key of the applied configuration. */
export const CONFIG_KEY = "config";

/** Header that tells the three outcomes of a request apart. */
export const OUTCOME_HEADER = "cowslipferry-outcome";

/** Header with the request's id, sent to the backend server and to the caller. */
export const REQUEST_ID_HEADER = "cowslipferry-request-id";

/** Header in which a caller gives the time left for its request, in milliseconds. */
export const DEADLINE_HEADER = "cowslipferry-deadline-ms";

/** Response header by which a backend server says that it takes no new work. */
export const LEAVING_HEADER = "cowslipferry-leaving";

/** Header that carries an idempotency key issued by an entry. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Path prefix of the system's own resources on the callers' port. */
export const SYSTEM_PATH_PREFIX = "/.cowslipferry/";

/** Time without contact to store, peers and VM list after which an entry refuses new work, in ms. */
export const ISOLATION_LIMIT_MS = 5_000;

/** Interval of VM list polls after a change or a failure, in ms. */
export const VM_LIST_POLL_INTERVAL_MS = 1_000;

/**
 * Interval of VM list polls while the list stays unchanged, in ms. A listed VM
 * that leaves must get no new work after 3 s, so half of that is left for the
 * answer.
 */
export const VM_LIST_IDLE_POLL_INTERVAL_MS = 1_500;

/**
 * Time that a store watch waits for a change before it is renewed, in ms. Each
 * answer counts as contact, so it must be shorter than the isolation limit.
 */
export const STORE_WATCH_WAIT_MS = 3_000;

/** Time after which a store call counts as failed, in ms. */
export const STORE_CALL_TIMEOUT_MS = 2_000;

/** Header with the id of the entry that forwarded a keyed request to the key's issuer. */
export const FORWARDED_BY_HEADER = "cowslipferry-forwarded-by";

/** Host that stands for every address of the machine when a server listens on it. */
export const ANY_HOST = "0.0.0.0";

/** Default time without an answer after which a worker counts as unreachable, in ms. */
export const UNREACHABLE_AFTER_MS = 30_000;
/** Default of the shortest pause of maintenance after correlated failures, in ms. */
export const WAVE_PAUSE_MS = 300_000;
