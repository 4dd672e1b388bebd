package io.quincelead.policy;

/**
 * How a covered job completed.
 *
 * @param done whether the job was done; otherwise it was cancelled
 * @param completedAtMillis when the job completed, in ms since 1970
 */
record JobCompletion(boolean done, long completedAtMillis) {}
