package io.quincelead.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.app.Main;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Tests the settings files and the command line. */
class SettingsTest {
    @TempDir Path dir;

    private static final String VALID_SETTINGS =
            """
            member = "worker-0"
            domain = "a"
            listen = "10.0.0.1:8080"
            cluster_listen = "10.0.0.1:8081"
            new_field = "is ignored"
            [[known]]
            member = "worker-1"
            domain = "a"
            address = "10.0.0.2:8081"
            [external]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [settings]
            count = 2
            zones = ["a"]
            [[settings.teams]]
            name = "red"
            cpus = 1.5
            cpus_max = 7.0
            [[settings.objectives]]
            kind = "wait"
            class = "ice"
            within_s = 2.0
            share = 0.9
            [settings.workers]
            report_s = 1.0
            lease_s = 10.0
            cancel_s = 40.0
            [settings.state]
            rps = 200.0
            write_rps = 80.0
            value_kb = 8.0
            txn_ops = 12
            [settings.cloud]
            rps = 2.0
            list_lag_s = 8.0
            [settings.limits]
            max_connections = 800
            """;

    private File writeFile(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text).toFile();
    }

    private String errorFor(String text) throws IOException {
        File settingsFile = writeFile("wrong.toml", text);
        String message =
                assertThrows(
                                Settings.InvalidSettingsException.class,
                                () -> Settings.load(settingsFile))
                        .getMessage();
        assertTrue(message.contains("wrong.toml") && message.lines().count() == 1, message);
        return message;
    }

    @Test
    void readsPlatformSettings() throws Exception {
        Settings settings = Settings.load(writeFile("good.toml", VALID_SETTINGS));
        assertEquals("worker-0", settings.memberId());
        assertEquals("10.0.0.2:8081", settings.peerAddresses().get("worker-1"));
        assertEquals(7.0, settings.teams().get("red").maxCpus());
        assertEquals(0.0, settings.teams().get("red").maxGpus());
        assertEquals(12, settings.storeLimits().maxTransactionOperations());
    }

    @Test
    void errorNamesFileFieldAndAllowedValues() throws Exception {
        assertTrue(
                errorFor(VALID_SETTINGS.replace("lease_s = 10.0", "lease_s = -1"))
                        .contains("settings.workers.lease_s: a number of at least 0.1"));
        assertTrue(
                errorFor(
                                VALID_SETTINGS.replace(
                                        "listen = \"10.0.0.1:8080\"", "listen = \"nowhere\""))
                        .contains("listen: an address"));
        assertTrue(
                errorFor(VALID_SETTINGS.replace("cpus_max = 7.0", ""))
                        .contains("settings.teams[0].cpus_max"));
        assertTrue(
                errorFor(VALID_SETTINGS.replace("[external]", "[other]"))
                        .contains("external: a table is required"));
        assertTrue(errorFor("this is = = not TOML").contains("can't be read as TOML"));
        assertTrue(
                assertThrows(
                                Settings.InvalidSettingsException.class,
                                () -> Settings.load(new File(dir.toFile(), "missing")))
                        .getMessage()
                        .contains("missing"));
    }

    @Test
    void readsOperatorSettings() throws Exception {
        OperatorSettings operatorSettings =
                OperatorSettings.load(
                        writeFile("o.json", "{\"alpha\":0.5,\"frequencyByType\":{\"gull\":1.2}}"));
        assertEquals(0.5, operatorSettings.parallelFraction());
        assertEquals(3, operatorSettings.tebasGroupSize());
        assertEquals(1.2, operatorSettings.clockSpeedByMachineType().get("gull"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"alpha\":2}", "{\"unknown\":1}", "{\"beta\":1.5}", "[]", "{"})
    void rejectsInvalidOperatorSettingsNamingTheFile(String text) throws Exception {
        File settingsFile = writeFile("bad.json", text);

        String message =
                assertThrows(
                                Settings.InvalidSettingsException.class,
                                () -> OperatorSettings.load(settingsFile))
                        .getMessage();

        assertTrue(message.contains("bad.json"), message);
    }

    @Test
    void unreadableFilesKeepTheirCause() throws Exception {
        File settingsFile = writeFile("bad.toml", "this is = = not TOML");
        File operatorFile = writeFile("bad.json", "{");

        assertInstanceOf(
                IOException.class,
                assertThrows(
                                Settings.InvalidSettingsException.class,
                                () -> Settings.load(settingsFile))
                        .getCause());
        assertInstanceOf(
                IOException.class,
                assertThrows(
                                Settings.InvalidSettingsException.class,
                                () -> OperatorSettings.load(operatorFile))
                        .getCause());
    }

    @Test
    void collectionsAreUnmodifiable() throws Exception {
        Settings settings = Settings.load(writeFile("good.toml", VALID_SETTINGS));

        assertThrows(UnsupportedOperationException.class, () -> settings.teams().clear());
        assertThrows(UnsupportedOperationException.class, () -> settings.peerAddresses().clear());
        assertThrows(UnsupportedOperationException.class, () -> settings.objectives().clear());
    }

    private int run(StringWriter output, String... args) {
        return new CommandLine(new Main())
                .setErr(new PrintWriter(output))
                .setOut(new PrintWriter(output))
                .execute(args);
    }

    @Test
    void commandLineExitCodes() throws Exception {
        StringWriter output = new StringWriter();
        assertEquals(2, run(output));
        assertEquals(2, run(output, "--nonsense"));
        assertTrue(output.toString().contains("Usage:"));
        StringWriter invalidSettingsOutput = new StringWriter();
        assertEquals(
                1,
                run(
                        invalidSettingsOutput,
                        "--config",
                        writeFile("w.toml", VALID_SETTINGS.replace("count = 2", "count = \"two\""))
                                .toString()));
        assertEquals(
                1,
                invalidSettingsOutput.toString().lines().count(),
                invalidSettingsOutput.toString());
        assertEquals(
                0,
                run(output, "--check", "--config", writeFile("g.toml", VALID_SETTINGS).toString()));
    }
}
