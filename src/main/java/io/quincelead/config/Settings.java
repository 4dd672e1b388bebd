package io.quincelead.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings file that the platform provides (TOML), validated once at startup. Unknown fields of
 * the file are ignored; all collections are unmodifiable.
 *
 * @param memberId this controller's member id (file: {@code member})
 * @param zone this controller's zone (file: {@code domain})
 * @param listenAddress address on which this controller serves users and workers (file: {@code
 *     listen})
 * @param clusterListenAddress address on which this controller serves other controllers and
 *     operators (file: {@code cluster_listen})
 * @param peerAddresses cluster addresses of the other controllers by member id, in the file's order
 *     (file: {@code known})
 * @param cloudAddress the cloud's address (file: {@code external.cloud})
 * @param storeAddress the state service's address (file: {@code external.state})
 * @param controllerCount number of controllers in the cluster, including this one
 * @param clockErrorMillis maximum error of the wall clock
 * @param teams the teams by name, in the file's order
 * @param objectives service-level objectives of job classes
 * @param workerTimings timings of the protocol with workers
 * @param storeLimits limits of the state service
 * @param cloudLimits limits of the cloud
 * @param processLimits resource limits of this process
 */
public record Settings(
        String memberId,
        String zone,
        String listenAddress,
        String clusterListenAddress,
        Map<String, String> peerAddresses,
        String cloudAddress,
        String storeAddress,
        int controllerCount,
        double clockErrorMillis,
        Map<String, Team> teams,
        List<ServiceLevelObjective> objectives,
        WorkerTimings workerTimings,
        StoreLimits storeLimits,
        CloudLimits cloudLimits,
        ProcessLimits processLimits) {

    /**
     * A team's quota: the guaranteed CPUs and GPUs, and the maximum that the team may use at one
     * time.
     */
    public record Team(
            String name,
            double guaranteedCpus,
            double maxCpus,
            double guaranteedGpus,
            double maxGpus) {}

    /**
     * A service-level objective of a class of jobs.
     *
     * @param metric what is measured (file: {@code kind})
     * @param jobClass the class; empty if the file names none
     * @param withinSeconds the time limit of the objective
     * @param fraction the fraction of the jobs that should meet it (file: {@code share})
     * @param factor a multiple, for objectives that are relative to another time (file: {@code
     *     times})
     */
    public record ServiceLevelObjective(
            String metric, String jobClass, double withinSeconds, double fraction, double factor) {}

    /**
     * Timings of the protocol with workers.
     *
     * @param heartbeatSeconds interval of heartbeats (file: {@code report_s})
     * @param leaseSeconds time since the sending of the last answered heartbeat after which a
     *     worker kills its tasks
     * @param gangWaitSeconds how long a gang's task waits for the others to start
     * @param gangPeerSeconds time within which the tasks of a running gang notice a lost one and
     *     exit
     * @param cancelSeconds time after a confirmed cancellation within which the job's tasks must be
     *     gone
     */
    public record WorkerTimings(
            double heartbeatSeconds,
            double leaseSeconds,
            double gangWaitSeconds,
            double gangPeerSeconds,
            double cancelSeconds) {}

    /**
     * Limits of the state service, for all controllers together.
     *
     * @param requestsPerSecond maximum rate of requests of all kinds (file: {@code rps})
     * @param writesPerSecond maximum rate of operations in transactions (file: {@code write_rps})
     * @param maxValueKb largest value, in KiB
     * @param maxTransactionOperations maximum number of operations in one transaction (file: {@code
     *     txn_ops})
     */
    public record StoreLimits(
            double requestsPerSecond,
            double writesPerSecond,
            double maxValueKb,
            int maxTransactionOperations) {}

    /**
     * Limits of the cloud.
     *
     * @param requestsPerSecond maximum request rate of all controllers together
     * @param listLagSeconds maximum lag of the machine list
     */
    public record CloudLimits(double requestsPerSecond, double listLagSeconds) {}

    /** Resource limits of this process: CPUs, memory in MB, open connections. */
    public record ProcessLimits(double cpuShare, double memoryMb, int maxConnections) {}

    /**
     * Thrown if a settings file can't be used. The message names the file, the field and what is
     * allowed.
     */
    public static final class InvalidSettingsException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception for an invalid file that could be read. */
        public InvalidSettingsException(String message) {
            super(message);
        }

        /** Creates the exception for a file that couldn't be read. */
        public InvalidSettingsException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Wraps the collections so that they are unmodifiable. */
    public Settings {
        peerAddresses = Collections.unmodifiableMap(peerAddresses);
        teams = Collections.unmodifiableMap(teams);
        objectives = Collections.unmodifiableList(objectives);
    }

    /**
     * Reads and validates a file.
     *
     * @throws InvalidSettingsException if it can't be read or used; the message names the file, the
     *     field and what is allowed
     */
    public static Settings load(File file) throws InvalidSettingsException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(file);
        } catch (IOException e) {
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
            throw new InvalidSettingsException(file + ": can't be read as TOML: " + firstLine, e);
        }
        return read(root, file.toString());
    }

    /**
     * Reads and validates the settings of a parsed file.
     *
     * @param fileName name of the file in error messages
     * @throws InvalidSettingsException for the first invalid field
     */
    public static Settings read(JsonNode root, String fileName) throws InvalidSettingsException {
        TableReader rootTable = new TableReader(fileName, "", root);
        TableReader externalTable = rootTable.table("external");
        TableReader settingsTable = rootTable.table("settings");
        // The order of the checks decides which of several errors is reported.
        Map<String, String> peerAddresses = readPeerAddresses(rootTable);
        Map<String, Team> teams = readTeams(settingsTable);
        List<ServiceLevelObjective> objectives = readObjectives(settingsTable);
        TableReader workersTable = settingsTable.table("workers");
        TableReader stateTable = settingsTable.table("state");
        TableReader cloudTable = settingsTable.table("cloud");
        TableReader limitsTable = settingsTable.table("limits");
        return new Settings(
                rootTable.text("member"),
                rootTable.text("domain"),
                rootTable.address("listen"),
                rootTable.address("cluster_listen"),
                peerAddresses,
                externalTable.address("cloud"),
                externalTable.address("state"),
                (int) settingsTable.number("count", 1, peerAddresses.size() + 1),
                settingsTable.number("clock_error_ms", 0, 0),
                teams,
                objectives,
                new WorkerTimings(
                        workersTable.number("report_s", 0.01, null),
                        workersTable.number("lease_s", 0.1, null),
                        workersTable.number("gang_wait_s", 0, 30),
                        workersTable.number("gang_peer_s", 0, 5),
                        workersTable.number("cancel_s", 0.1, null)),
                new StoreLimits(
                        stateTable.number("rps", 1, null),
                        stateTable.number("write_rps", 1, null),
                        stateTable.number("value_kb", 1, null),
                        (int) stateTable.number("txn_ops", 4, null)),
                new CloudLimits(
                        cloudTable.number("rps", 0.01, null),
                        cloudTable.number("list_lag_s", 0, 5)),
                new ProcessLimits(
                        limitsTable.number("cpu_share", 0, 1),
                        limitsTable.number("ram_mb", 1, 256),
                        (int) limitsTable.number("max_connections", 8, 500)));
    }

    /** Returns the peers' addresses by member id. */
    private static Map<String, String> readPeerAddresses(TableReader rootTable)
            throws InvalidSettingsException {
        Map<String, String> peerAddresses = new LinkedHashMap<>();
        for (TableReader peerTable : rootTable.tables("known", false)) {
            peerAddresses.put(peerTable.text("member"), peerTable.address("address"));
        }
        return peerAddresses;
    }

    /** Returns the teams by name. */
    private static Map<String, Team> readTeams(TableReader settingsTable)
            throws InvalidSettingsException {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (TableReader teamTable : settingsTable.tables("teams", true)) {
            Team team =
                    new Team(
                            teamTable.text("name"),
                            teamTable.number("cpus", 0, 0),
                            teamTable.number("cpus_max", 0, null),
                            teamTable.number("gpus", 0, 0),
                            teamTable.number("gpus_max", 0, 0));
            teams.put(team.name(), team);
        }
        return teams;
    }

    /** Returns the objectives in the file's order. */
    private static List<ServiceLevelObjective> readObjectives(TableReader settingsTable)
            throws InvalidSettingsException {
        List<ServiceLevelObjective> objectives = new ArrayList<>();
        for (TableReader objectiveTable : settingsTable.tables("objectives", false)) {
            objectives.add(
                    new ServiceLevelObjective(
                            objectiveTable.text("kind"),
                            objectiveTable.textOrDefault("class", ""),
                            objectiveTable.number("within_s", 0, 0),
                            objectiveTable.number("share", 0, 0),
                            objectiveTable.number("times", 0, 1)));
        }
        return objectives;
    }

    /** Reads one table of the file. Exceptions name the path of the invalid field. */
    private record TableReader(String fileName, String path, JsonNode node) {
        InvalidSettingsException invalid(String field, String allowed) {
            return new InvalidSettingsException(fileName + ": " + path + field + ": " + allowed);
        }

        TableReader table(String field) throws InvalidSettingsException {
            JsonNode value = node.get(field);
            if (value == null || !value.isObject()) {
                throw invalid(field, "a table is required");
            }
            return new TableReader(fileName, path + field + ".", value);
        }

        List<TableReader> tables(String field, boolean required) throws InvalidSettingsException {
            JsonNode value = node.get(field);
            List<TableReader> tables = new ArrayList<>();
            if (value == null && !required) {
                return tables;
            }
            if (value == null || !value.isArray() || (required && value.isEmpty())) {
                throw invalid(field, "a list of tables is required");
            }
            for (int index = 0; index < value.size(); index++) {
                if (!value.get(index).isObject()) {
                    throw invalid(field + "[" + index + "]", "a table is required");
                }
                tables.add(
                        new TableReader(
                                fileName, path + field + "[" + index + "].", value.get(index)));
            }
            return tables;
        }

        String text(String field) throws InvalidSettingsException {
            JsonNode value = node.get(field);
            if (value == null || !value.isTextual() || value.asText().isBlank()) {
                throw invalid(field, "a non-empty text is required");
            }
            return value.asText();
        }

        String textOrDefault(String field, String fallback) throws InvalidSettingsException {
            return node.get(field) == null ? fallback : text(field);
        }

        String address(String field) throws InvalidSettingsException {
            String address = text(field);
            int colon = address.lastIndexOf(':');
            try {
                int port = Integer.parseInt(address.substring(colon + 1));
                if (colon > 0 && port >= 0 && port < 65536) {
                    return address;
                }
            } catch (NumberFormatException e) {
                // rejected below
            }
            throw invalid(
                    field, "an address like 10.0.0.1:8080 is required, not \"" + address + "\"");
        }

        double number(String field, double minimum, Number fallback)
                throws InvalidSettingsException {
            JsonNode value = node.get(field);
            if (value == null && fallback != null) {
                return fallback.doubleValue();
            }
            if (value == null
                    || !value.isNumber()
                    || !Double.isFinite(value.asDouble())
                    || value.asDouble() < minimum) {
                throw invalid(field, "a number of at least " + minimum + " is required");
            }
            return value.asDouble();
        }
    }
}
