package io.quincelead.zone;

/**
 * The planned recovery of one missing replica.
 *
 * @param position in the order of recovery, from 1
 * @param replicaNumber number of replicas that the service has, including this one
 * @param capacitySource text that says where its capacity comes from
 * @param location machine and zone; "-" if there is no capacity for it
 * @param fetchGb size of the image, if it must be fetched
 * @param etaSeconds seconds from the loss until it serves; negative if it can't be recovered with
 *     the capacity that there is
 * @param reason text that says how many replicas are up before it, or which constraint prevents it
 */
record RecoveryStep(
        int position,
        String jobId,
        String priorityClassName,
        int replicaNumber,
        String capacitySource,
        String location,
        double fetchGb,
        double etaSeconds,
        String reason) {}
