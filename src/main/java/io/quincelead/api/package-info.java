/**
 * The users' HTTP API: submissions, status queries, cancellations, and the completion of jobs.
 *
 * <p>Duty: to answer users so that no response reflects an older state than a response that any
 * user got before the request was sent. Acceptance, cancellation and completion are committed to
 * the store before a response reports them; final states never change.
 *
 * <p>Owned state: the queries that wait for a read barrier, the cancellations that wait for
 * evidence that all tasks have terminated, the completions in progress, and a bounded cache of
 * final states. Everything runs on the event loop.
 *
 * <p>What it must not do: decide where a task runs, send messages to workers, or conclude that a
 * task has terminated. It answers 404 for a valid job id only after the store itself has shown that
 * the job has no record.
 */
package io.quincelead.api;
