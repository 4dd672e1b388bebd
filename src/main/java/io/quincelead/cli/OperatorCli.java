package io.quincelead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.quincelead.config.Settings;
import io.quincelead.transport.WireFormat;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The operators' commands: each asks one controller, in JSON, and prints what it says. */
@Command(
        name = "quincelead",
        mixinStandardHelpOptions = true,
        subcommands = {
            OperatorCli.ClassesCommand.class,
            OperatorCli.CalendarCommand.class,
            OperatorCli.ZonesCommand.class,
            OperatorCli.ExplainCommand.class
        },
        footer = {
            "",
            "Exit: 0 done; 1 a file or settings that can't be used; 2 a wrong command line; 3 the"
                    + " outcome is unknown: repeat with the same",
            "--change ID; 4 refused, nothing has changed; 5 no controller answers."
        })
public final class OperatorCli {
    private static final int EXIT_UNUSABLE_INPUT = 1;
    private static final int EXIT_OUTCOME_UNKNOWN = 3;
    private static final int EXIT_REFUSED = 4;
    private static final int EXIT_UNREACHABLE = 5;

    private OperatorCli() {}

    public static int run(String[] args) {
        return run(args, new PrintWriter(System.out, true), new PrintWriter(System.err, true));
    }

    static int run(String[] args, PrintWriter out, PrintWriter err) {
        return new CommandLine(new OperatorCli()).setOut(out).setErr(err).execute(args);
    }

    /** What every command has. */
    abstract static class OperatorCommand implements Callable<Integer> {
        @Mixin private ControllerClient.ControllerAddresses controllerAddresses;

        @Option(names = "--json", description = "Print the answer as it came.")
        private boolean printJson;

        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        /** Path of the command and its body. */
        abstract String buildRequest(ObjectNode body) throws Settings.InvalidSettingsException;

        /** The columns of its list, in order. */
        List<String> columns() {
            return List.of();
        }

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            ObjectNode body = WireFormat.newMap();
            ControllerClient.Response response;
            try {
                response = ControllerClient.send(controllerAddresses, buildRequest(body), body);
            } catch (Settings.InvalidSettingsException e) {
                err.println("quincelead: " + e.getMessage());
                return EXIT_UNUSABLE_INPUT;
            }
            if (response == null) {
                err.println(
                        "quincelead: no controller answers"
                                + (body.has("change")
                                        ? "; if one took it, a repeat with --change "
                                                + body.path("change").asText()
                                                + " changes nothing more"
                                        : ""));
                return body.has("change") ? EXIT_OUTCOME_UNKNOWN : EXIT_UNREACHABLE;
            }
            if (printJson) {
                out.println(response.body());
            } else if (response.status() == 200) {
                ResponsePrinter.print(response.body(), columns(), out);
            } else {
                err.println(
                        "quincelead: "
                                + response.body().path("error").asText()
                                + " ("
                                + response.body().path("by").asText()
                                + ")");
            }
            if (response.body().path("unknown").asBoolean()) {
                err.println("quincelead: repeat with --change " + body.path("change").asText());
                return EXIT_OUTCOME_UNKNOWN;
            }
            return response.status() == 200
                    ? 0
                    : response.status() == 503 ? EXIT_UNREACHABLE : EXIT_REFUSED;
        }
    }

    /** A command that changes something. */
    abstract static class ChangeCommand extends OperatorCommand {
        @Option(names = "--dry-run", description = "Show what would change, and change nothing.")
        private boolean dryRun;

        @Option(
                names = "--change",
                paramLabel = "ID",
                description = "Name of the change: a repeat with the same name takes effect once.")
        private String changeId;

        void putChangeFields(ObjectNode body) {
            if (dryRun) {
                body.put("dryRun", true);
            } else {
                body.put("change", changeId == null ? UUID.randomUUID().toString() : changeId);
            }
        }
    }

    /**
     * Reads a file and checks it against a schema of the jar: the error names file, field and what
     * is allowed.
     */
    static JsonNode readValidated(File file, String schemaName)
            throws Settings.InvalidSettingsException {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(file);
        } catch (IOException e) {
            throw new Settings.InvalidSettingsException(
                    file
                            + ": can't be read as JSON: "
                            + String.valueOf(e.getMessage())
                                    .lines()
                                    .findFirst()
                                    .orElse("unreadable"));
        }
        try (InputStream schemaStream = OperatorCli.class.getResourceAsStream("/" + schemaName)) {
            Set<String> violations = new LinkedHashSet<>();
            for (ValidationMessage message :
                    JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                            .getSchema(schemaStream)
                            .validate(root)) {
                violations.add(message.getMessage());
            }
            if (!violations.isEmpty()) {
                throw new Settings.InvalidSettingsException(
                        file + ": " + String.join("; ", violations));
            }
        } catch (IOException e) {
            throw new IllegalStateException("the schema is not in the jar", e);
        }
        return root;
    }

    // ---- classes

    @Command(
            name = "classes",
            description = "Priority classes.",
            mixinStandardHelpOptions = true,
            subcommands = {
                ApplyClasses.class,
                ListClasses.class,
                ClassesHistory.class,
                RollBackClasses.class
            })
    static final class ClassesCommand {}

    @Command(
            name = "apply",
            description = "Proposes the classes of a file; the leader puts them in force.",
            mixinStandardHelpOptions = true)
    static final class ApplyClasses extends ChangeCommand {
        @Parameters(
                paramLabel = "FILE",
                description = "Classes (JSON, see deploy/classes.example.json).")
        private File file;

        @Override
        String buildRequest(ObjectNode body) throws Settings.InvalidSettingsException {
            putChangeFields(body);
            body.put("file", file.getName())
                    .set("classes", readValidated(file, "classes.schema.json").get("classes"));
            return "/ops/classes/apply";
        }
    }

    @Command(
            name = "list",
            description = "The classes in force, and how their jobs fare.",
            mixinStandardHelpOptions = true)
    static final class ListClasses extends OperatorCommand {
        @Override
        String buildRequest(ObjectNode body) {
            return "/ops/classes/list";
        }

        @Override
        List<String> columns() {
            return List.of(
                    "name",
                    "rank",
                    "match",
                    "beginWithinS",
                    "leastShare",
                    "keep",
                    "passes",
                    "zonePatienceS",
                    "zoneSpare");
        }
    }

    @Command(
            name = "history",
            description = "The generations on record.",
            mixinStandardHelpOptions = true)
    static final class ClassesHistory extends OperatorCommand {
        @Override
        String buildRequest(ObjectNode body) {
            return "/ops/classes/history";
        }

        @Override
        List<String> columns() {
            return List.of("number", "state", "count", "change", "error");
        }
    }

    @Command(
            name = "rollback",
            description = "Proposes an earlier generation anew.",
            mixinStandardHelpOptions = true)
    static final class RollBackClasses extends ChangeCommand {
        @Option(
                names = "--to",
                paramLabel = "N",
                description = "Generation; the one before the ruling one if left out, 0 for none.")
        private Long generation;

        @Override
        String buildRequest(ObjectNode body) {
            putChangeFields(body);
            if (generation != null) {
                body.put("to", generation);
            }
            return "/ops/classes/rollback";
        }
    }

    // ---- calendar

    @Command(
            name = "calendar",
            description = "Times of publication.",
            mixinStandardHelpOptions = true,
            subcommands = {
                AddEntry.class,
                MovePublication.class,
                SkipPublication.class,
                RemoveEntry.class,
                ListUpcoming.class,
                ListEntries.class,
                ListLedger.class
            })
    static final class CalendarCommand {}

    @Command(
            name = "add",
            description = "Adds the entry of a file.",
            mixinStandardHelpOptions = true)
    static final class AddEntry extends ChangeCommand {
        @Parameters(
                paramLabel = "FILE",
                description = "An entry (JSON, see deploy/calendar.example.json).")
        private File file;

        @Option(
                names = "--replace",
                description = "Put it in the place of the entry of the same name.")
        private boolean replace;

        @Override
        String buildRequest(ObjectNode body) throws Settings.InvalidSettingsException {
            putChangeFields(body);
            body.put("file", file.getName())
                    .put("replace", replace)
                    .set("entry", readValidated(file, "calendar.schema.json"));
            return "/ops/calendar/add";
        }
    }

    @Command(
            name = "move",
            description = "Moves one day's publication.",
            mixinStandardHelpOptions = true)
    static final class MovePublication extends ChangeCommand {
        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Parameters(index = "1", paramLabel = "DATE")
        private String date;

        @Parameters(index = "2", paramLabel = "TIME")
        private String time;

        @Override
        String buildRequest(ObjectNode body) {
            putChangeFields(body);
            body.put("name", name).put("date", date).put("time", time);
            return "/ops/calendar/move";
        }
    }

    @Command(
            name = "skip",
            description = "Leaves one day's publication out.",
            mixinStandardHelpOptions = true)
    static final class SkipPublication extends ChangeCommand {
        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Parameters(index = "1", paramLabel = "DATE")
        private String date;

        @Override
        String buildRequest(ObjectNode body) {
            putChangeFields(body);
            body.put("name", name).put("date", date);
            return "/ops/calendar/skip";
        }
    }

    @Command(name = "remove", description = "Removes an entry.", mixinStandardHelpOptions = true)
    static final class RemoveEntry extends ChangeCommand {
        @Parameters(paramLabel = "NAME")
        private String name;

        @Override
        String buildRequest(ObjectNode body) {
            putChangeFields(body);
            body.put("name", name);
            return "/ops/calendar/remove";
        }
    }

    @Command(
            name = "next",
            description = "The publications to come.",
            mixinStandardHelpOptions = true)
    static final class ListUpcoming extends OperatorCommand {
        @Option(names = "--days", paramLabel = "N", description = "Days to look ahead, at most 31.")
        private int days = 2;

        @Override
        String buildRequest(ObjectNode body) {
            body.put("days", days);
            return "/ops/calendar/next";
        }

        @Override
        List<String> columns() {
            return List.of("entry", "date", "opens", "publication", "expectedCpus");
        }
    }

    @Command(
            name = "list",
            description = "The entries, and the occurrences under way.",
            mixinStandardHelpOptions = true)
    static final class ListEntries extends OperatorCommand {
        @Override
        String buildRequest(ObjectNode body) {
            return "/ops/calendar/list";
        }

        @Override
        List<String> columns() {
            return List.of(
                    "name", "time", "zone", "days", "dates", "covers", "leadS", "graceS", "skipped",
                    "moved");
        }
    }

    @Command(
            name = "ledger",
            description = "What became of an entry's publications.",
            mixinStandardHelpOptions = true)
    static final class ListLedger extends OperatorCommand {
        @Parameters(paramLabel = "NAME")
        private String name;

        @Override
        String buildRequest(ObjectNode body) {
            body.put("name", name);
            return "/ops/calendar/ledger";
        }

        @Override
        List<String> columns() {
            return List.of(
                    "date",
                    "st",
                    "pub",
                    "n",
                    "done",
                    "cancelled",
                    "unfinished",
                    "last",
                    "peak",
                    "leaders");
        }
    }

    // ---- zones

    @Command(
            name = "zones",
            description = "Zones that are lost and come back.",
            mixinStandardHelpOptions = true,
            subcommands = {
                ListZones.class,
                PlanZoneRecovery.class,
                HoldZone.class,
                ReleaseZone.class
            })
    static final class ZonesCommand {}

    @Command(
            name = "list",
            description = "The zones, their states, and what led there.",
            mixinStandardHelpOptions = true)
    static final class ListZones extends OperatorCommand {
        @Override
        String buildRequest(ObjectNode body) {
            return "/ops/zones/list";
        }

        @Override
        List<String> columns() {
            return List.of("zone", "state", "machines", "heard", "had", "since", "why", "order");
        }
    }

    @Command(
            name = "plan",
            description = "Which models return first and where to, now or if a zone went.",
            mixinStandardHelpOptions = true)
    static final class PlanZoneRecovery extends OperatorCommand {
        @Option(
                names = "--lost",
                paramLabel = "ZONE",
                description = "As if this zone were gone now.")
        private List<String> lostZones = new ArrayList<>();

        @Override
        String buildRequest(ObjectNode body) {
            lostZones.forEach(body.putArray("lost")::add);
            return "/ops/zones/plan";
        }

        @Override
        List<String> columns() {
            return List.of(
                    "order", "model", "class", "replica", "how", "where", "fetchGb", "etaS", "why");
        }
    }

    @Command(
            name = "hold",
            description =
                    "Gives up no machine of a zone that can't be reached, until it is released.",
            mixinStandardHelpOptions = true)
    static final class HoldZone extends ChangeCommand {
        @Parameters(paramLabel = "ZONE")
        private String zone;

        @Override
        String buildRequest(ObjectNode body) {
            putChangeFields(body);
            body.put("zone", zone);
            return "/ops/zones/hold";
        }
    }

    @Command(
            name = "release",
            description =
                    "Returns the machines of a zone that can't be reached, at once; what serves on"
                            + " inside ends.",
            mixinStandardHelpOptions = true)
    static final class ReleaseZone extends ChangeCommand {
        @Parameters(paramLabel = "ZONE")
        private String zone;

        @Override
        String buildRequest(ObjectNode body) {
            putChangeFields(body);
            body.put("zone", zone);
            return "/ops/zones/release";
        }
    }

    // ---- one job

    @Command(
            name = "explain",
            description = "Why a job is where it is in the queue.",
            mixinStandardHelpOptions = true)
    static final class ExplainCommand extends OperatorCommand {
        @Parameters(paramLabel = "JOB")
        private String jobId;

        @Override
        String buildRequest(ObjectNode body) {
            body.put("job", jobId);
            return "/ops/explain";
        }
    }
}
