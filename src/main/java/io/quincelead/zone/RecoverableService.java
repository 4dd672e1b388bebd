package io.quincelead.zone;

import java.util.List;
import java.util.Map;

/**
 * A service, some of whose replicas may be in lost zones.
 *
 * @param priorityClassName name of its class; empty when it has none
 * @param classRank rank of its class, lower first
 * @param priority ordinal of its priority, lower is more urgent
 * @param taskCount how many replicas it should have
 * @param survivorsByZone how many replicas it has outside the lost zones, by zone
 * @param coveredByWindow whether an open calendar window covers it
 * @param demand resources that one replica needs
 * @param imageGb size of the image
 * @param machineTypes names of the machine types it may run on; null: all
 * @param requiredZone the one zone it may run in; null: any
 * @param maxTasksPerZone how many replicas may be in one zone
 */
record RecoverableService(
        String jobId,
        String priorityClassName,
        int classRank,
        int priority,
        int taskCount,
        Map<String, Integer> survivorsByZone,
        boolean coveredByWindow,
        Resources demand,
        String image,
        double imageGb,
        List<String> machineTypes,
        String requiredZone,
        boolean allowsSpot,
        int maxTasksPerZone) {}
