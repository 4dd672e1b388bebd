package io.quincelead.zone;

/**
 * One replica's way back.
 *
 * @param position in the order of recovery, from 1
 * @param replicaNumber how many replicas the service has with this one
 * @param capacitySource where its capacity comes from, in words
 * @param location machine and zone; "-" when there is none
 * @param fetchGb size of the image, if it must be fetched
 * @param etaSeconds seconds from the loss until it serves; negative: never, as things are
 * @param reason why it is its turn, or what it lacks, in words
 */
record RecoveryStep(
        int position,
        String jobId,
        String jobClass,
        int replicaNumber,
        String capacitySource,
        String location,
        double fetchGb,
        double etaSeconds,
        String reason) {}
