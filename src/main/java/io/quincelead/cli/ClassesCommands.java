package io.quincelead.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import java.io.File;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands on priority classes. */
@Command(
        name = "classes",
        description = "Priority classes.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ClassesCommands.Apply.class,
            ClassesCommands.ListActive.class,
            ClassesCommands.History.class,
            ClassesCommands.RollBack.class
        })
final class ClassesCommands {
    @Command(
            name = "apply",
            description = "Proposes the classes in a file; the leader puts them in force.",
            mixinStandardHelpOptions = true)
    static final class Apply extends ChangeCommand {
        @Parameters(
                paramLabel = "FILE",
                description = "Classes (JSON, see deploy/classes.example.json).")
        private File file;

        Apply() {
            super("/ops/classes/apply");
        }

        @Override
        void addChangeFields(ObjectNode request) throws Settings.InvalidSettingsException {
            request.put("file", file.getName())
                    .set("classes", ValidatedFile.read(file, "classes.schema.json").get("classes"));
        }
    }

    @Command(
            name = "list",
            description = "The classes in force and the counts of their jobs.",
            mixinStandardHelpOptions = true)
    static final class ListActive extends OperatorCommand {
        ListActive() {
            super(
                    "/ops/classes/list",
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
    static final class History extends OperatorCommand {
        History() {
            super("/ops/classes/history", "number", "state", "count", "change", "error");
        }
    }

    @Command(
            name = "rollback",
            description = "Proposes an earlier generation again.",
            mixinStandardHelpOptions = true)
    static final class RollBack extends ChangeCommand {
        @Option(
                names = "--to",
                paramLabel = "N",
                description =
                        "Generation; the one before the active one if left out, 0 for no classes.")
        private Long generation;

        RollBack() {
            super("/ops/classes/rollback");
        }

        @Override
        void addChangeFields(ObjectNode request) {
            if (generation != null) {
                request.put("to", generation);
            }
        }
    }
}
