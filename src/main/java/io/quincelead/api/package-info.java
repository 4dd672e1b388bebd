/**
 * The users' HTTP API: submissions, status queries, cancellations, and the completion of jobs.
 *
 * <p>Duty: to answer users so that no response is older than one given to anybody before the
 * question was asked. Acceptance, cancellation and completion are committed to the store before
 * they are told; final states never change again.
 *
 * <p>Owned state: the queries that wait for a read barrier, the cancellations that wait for
 * evidence, the completions under way, and a bounded cache of final states. Everything runs on the
 * event loop.
 *
 * <p>What it must not do: decide where a task runs, talk to workers, or conclude that a task has
 * terminated. It answers 404 for a valid job id only after the store itself has shown that the job
 * has no record.
 */
package io.quincelead.api;
