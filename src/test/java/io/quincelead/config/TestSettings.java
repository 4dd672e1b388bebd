package io.quincelead.config;

import java.util.List;
import java.util.Map;

/** Settings of a lone controller on a small store. */
public final class TestSettings {
    public static final Settings LONE_CONTROLLER =
            new Settings(
                    "worker-0",
                    "a",
                    "10.0.0.1:8080",
                    "10.0.0.1:8081",
                    Map.of(),
                    "10.2.0.2:1",
                    "10.2.0.1:1",
                    1,
                    25,
                    Map.of(),
                    List.of(),
                    new Settings.WorkerTimings(1, 10, 45, 6, 40),
                    new Settings.StoreLimits(400, 200, 8, 12),
                    new Settings.CloudLimits(4, 4),
                    new Settings.ProcessLimits(1, 256, 500));

    private TestSettings() {}
}
