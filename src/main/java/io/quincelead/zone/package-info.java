/**
 * Loss and recovery of zones.
 *
 * <p>Duty: the leader judges from heartbeats and machine records whether a zone is up, doubtful,
 * cut off, lost or returning, and restores the zone spread of services when a zone that came back
 * has settled. Operators ask for a plan of recovery and order that a zone's machines are held or
 * released.
 *
 * <p>Owned state: the zone records in the store; it also records which large images machines have.
 * In memory, only when the last move was made and images were last recorded.
 *
 * <p>Must not: take a zone for lost by time, without evidence that its machines are gone; conclude
 * anything about a zone when no other zone is heard; start tasks; stop one other than by its
 * record, or more than one replica of a service at a time.
 */
package io.quincelead.zone;
