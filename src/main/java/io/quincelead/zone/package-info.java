/**
 * Detection of zone outages, and recovery from them.
 *
 * <p>Duty: the leader evaluates from heartbeats and machine records whether a zone is up, doubtful,
 * cut off, lost, returning or settled, and restores the zone spread of services once a returning
 * zone has settled. Operators request recovery plans and order that a zone's machines are held or
 * released.
 *
 * <p>Owned state: the zone records in the store; this package also records which large images
 * machines have cached. In memory, only the times of the last move and of the last recording of
 * images.
 *
 * <p>Must not: declare a zone lost because of elapsed time, without evidence that its machines are
 * gone; conclude anything about a zone when no other zone is reachable; start tasks; stop a task
 * other than through its record; stop more than one replica of a service at a time.
 */
package io.quincelead.zone;
