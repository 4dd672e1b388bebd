package io.quincelead.config;

import java.util.List;
import java.util.Map;

/** Settings of a single controller, for tests. */
public final class TestSettings {
    /** Settings without teams, with the limits of a small store. */
    public static final Settings SINGLE_CONTROLLER =
            singleController(
                    "worker-0",
                    Map.of(),
                    new Settings.WorkerTimings(1, 10, 45, 6, 40),
                    new Settings.StoreLimits(400, 200, 8, 12));

    private TestSettings() {}

    /** The settings of {@link #SINGLE_CONTROLLER} with a store at another address. */
    public static Settings withStore(String storeAddress) {
        return singleController(
                SINGLE_CONTROLLER.memberId(),
                SINGLE_CONTROLLER.teams(),
                SINGLE_CONTROLLER.workerTimings(),
                SINGLE_CONTROLLER.storeLimits(),
                storeAddress);
    }

    /** Creates settings with these teams (by name), worker timings and limits of the store. */
    public static Settings singleController(
            String memberId,
            Map<String, Settings.Team> teams,
            Settings.WorkerTimings workerTimings,
            Settings.StoreLimits storeLimits) {
        return singleController(memberId, teams, workerTimings, storeLimits, "10.2.0.1:1");
    }

    private static Settings singleController(
            String memberId,
            Map<String, Settings.Team> teams,
            Settings.WorkerTimings workerTimings,
            Settings.StoreLimits storeLimits,
            String storeAddress) {
        return new Settings(
                memberId,
                "a",
                "10.0.0.1:8080",
                "10.0.0.1:8081",
                Map.of(),
                "10.2.0.2:1",
                storeAddress,
                1,
                25,
                teams,
                List.of(),
                workerTimings,
                storeLimits,
                new Settings.CloudLimits(4, 4),
                new Settings.ProcessLimits(1, 256, 500));
    }
}
