/**
 * Messages between controllers, in JSON.
 *
 * <p>Duty: tell the leader of misrouted workers and of which machines may get tasks or still boot,
 * and, on the leader, tell the other parts of the controller what it has been told.
 *
 * <p>Owned state: each other controller's latest status, with the time it came, and when the leader
 * last took ours; in memory alone.
 *
 * <p>What it must not do: carry anything that safety rests on. A message may be lost, repeated or
 * late; what it says is advice with an age, never evidence, and nothing here writes to the store.
 */
package io.quincelead.peer;
