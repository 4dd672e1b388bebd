package io.quincelead.policy;

/**
 * How a covered job terminated.
 *
 * @param done whether it was done; otherwise it was cancelled
 * @param completedAtMillis when, in ms since 1970
 */
record JobCompletion(boolean done, long completedAtMillis) {}
