package io.quincelead.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import java.io.File;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands on the deadline calendar. */
@Command(
        name = "calendar",
        description = "The deadline calendar of publications.",
        mixinStandardHelpOptions = true,
        subcommands = {
            CalendarCommands.Add.class,
            CalendarCommands.Move.class,
            CalendarCommands.Skip.class,
            CalendarCommands.Remove.class,
            CalendarCommands.ListUpcoming.class,
            CalendarCommands.ListEntries.class,
            CalendarCommands.ListLedger.class
        })
final class CalendarCommands {
    @Command(
            name = "add",
            description = "Adds the entry in a file.",
            mixinStandardHelpOptions = true)
    static final class Add extends ChangeCommand {
        @Parameters(
                paramLabel = "FILE",
                description = "An entry (JSON, see deploy/calendar.example.json).")
        private File file;

        @Option(names = "--replace", description = "Replace the entry of the same name.")
        private boolean replace;

        Add() {
            super("/ops/calendar/add");
        }

        @Override
        void addChangeFields(ObjectNode request) throws Settings.InvalidSettingsException {
            request.put("file", file.getName())
                    .put("replace", replace)
                    .set("entry", ValidatedFile.read(file, "calendar.schema.json"));
        }
    }

    /** A change of an entry on one day. */
    abstract static class DateChange extends ChangeCommand {
        @Parameters(index = "0", paramLabel = "NAME")
        private String name;

        @Parameters(index = "1", paramLabel = "DATE")
        private String date;

        DateChange(String path) {
            super(path);
        }

        @Override
        void addChangeFields(ObjectNode request) {
            request.put("name", name).put("date", date);
        }
    }

    @Command(
            name = "move",
            description = "Moves one day's publication.",
            mixinStandardHelpOptions = true)
    static final class Move extends DateChange {
        @Parameters(index = "2", paramLabel = "TIME")
        private String time;

        Move() {
            super("/ops/calendar/move");
        }

        @Override
        void addChangeFields(ObjectNode request) {
            super.addChangeFields(request);
            request.put("time", time);
        }
    }

    @Command(
            name = "skip",
            description = "Skips one day's publication.",
            mixinStandardHelpOptions = true)
    static final class Skip extends DateChange {
        Skip() {
            super("/ops/calendar/skip");
        }
    }

    @Command(name = "remove", description = "Removes an entry.", mixinStandardHelpOptions = true)
    static final class Remove extends ChangeCommand {
        @Parameters(paramLabel = "NAME")
        private String name;

        Remove() {
            super("/ops/calendar/remove");
        }

        @Override
        void addChangeFields(ObjectNode request) {
            request.put("name", name);
        }
    }

    @Command(
            name = "next",
            description = "The upcoming publications.",
            mixinStandardHelpOptions = true)
    static final class ListUpcoming extends OperatorCommand {
        @Option(names = "--days", paramLabel = "N", description = "Days to look ahead, at most 31.")
        private int days = 2;

        ListUpcoming() {
            super("/ops/calendar/next", "entry", "date", "opens", "publication", "expectedCpus");
        }

        @Override
        void addRequestFields(ObjectNode request) {
            request.put("days", days);
        }
    }

    @Command(
            name = "list",
            description = "The entries and the live occurrences.",
            mixinStandardHelpOptions = true)
    static final class ListEntries extends OperatorCommand {
        ListEntries() {
            super(
                    "/ops/calendar/list",
                    "name",
                    "time",
                    "zone",
                    "days",
                    "dates",
                    "covers",
                    "leadS",
                    "graceS",
                    "skipped",
                    "moved");
        }
    }

    @Command(
            name = "ledger",
            description = "The outcomes of an entry's past publications.",
            mixinStandardHelpOptions = true)
    static final class ListLedger extends OperatorCommand {
        @Parameters(paramLabel = "NAME")
        private String name;

        ListLedger() {
            super(
                    "/ops/calendar/ledger",
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

        @Override
        void addRequestFields(ObjectNode request) {
            request.put("name", name);
        }
    }
}
