/**
 * Messages between controllers, in JSON.
 *
 * <p>Duty: report to the leader the misrouted workers and which machines may get tasks or are still
 * booting; on the leader, make the received reports available to the controller's other components.
 *
 * <p>Owned state, in memory only: each other controller's latest status with the time it was
 * received, and when the leader last accepted this controller's status.
 *
 * <p>What it must not do: carry anything that a safety rule depends on. A message may be lost,
 * repeated or late; its content is advice with an age, never evidence, and no code in this package
 * writes to the store.
 */
package io.quincelead.peer;
