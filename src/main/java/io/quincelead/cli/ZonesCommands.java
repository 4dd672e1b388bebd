package io.quincelead.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands on lost and returning zones. */
@Command(
        name = "zones",
        description = "Zones that are lost and come back.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ZonesCommands.ListZones.class,
            ZonesCommands.PlanRecovery.class,
            ZonesCommands.Hold.class,
            ZonesCommands.Release.class
        })
final class ZonesCommands {
    @Command(
            name = "list",
            description = "The zones, their states, and what led there.",
            mixinStandardHelpOptions = true)
    static final class ListZones extends OperatorCommand {
        ListZones() {
            super(
                    "/ops/zones/list",
                    "zone",
                    "state",
                    "machines",
                    "heard",
                    "had",
                    "since",
                    "why",
                    "order");
        }
    }

    @Command(
            name = "plan",
            description = "Which models return first and where to, now or if a zone went.",
            mixinStandardHelpOptions = true)
    static final class PlanRecovery extends OperatorCommand {
        @Option(
                names = "--lost",
                paramLabel = "ZONE",
                description = "As if this zone were gone now.")
        private List<String> lostZones = new ArrayList<>();

        PlanRecovery() {
            super(
                    "/ops/zones/plan",
                    "order",
                    "model",
                    "class",
                    "replica",
                    "how",
                    "where",
                    "fetchGb",
                    "etaS",
                    "why");
        }

        @Override
        void addRequestFields(ObjectNode request) {
            lostZones.forEach(request.putArray("lost")::add);
        }
    }

    /** An order about one zone. */
    abstract static class ZoneOrder extends ChangeCommand {
        @Parameters(paramLabel = "ZONE")
        private String zone;

        ZoneOrder(String path) {
            super(path);
        }

        @Override
        void addChangeFields(ObjectNode request) {
            request.put("zone", zone);
        }
    }

    @Command(
            name = "hold",
            description =
                    "Gives up no machine of a zone that can't be reached, until it is released.",
            mixinStandardHelpOptions = true)
    static final class Hold extends ZoneOrder {
        Hold() {
            super("/ops/zones/hold");
        }
    }

    @Command(
            name = "release",
            description =
                    "Returns the machines of a zone that can't be reached, at once; what serves on"
                            + " inside ends.",
            mixinStandardHelpOptions = true)
    static final class Release extends ZoneOrder {
        Release() {
            super("/ops/zones/release");
        }
    }
}
