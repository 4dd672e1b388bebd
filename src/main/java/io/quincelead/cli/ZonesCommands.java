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
        description = "Lost and returning zones.",
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
            description = "The zones, their states and the reasons for them.",
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
            description = "Which models are recovered first and where, now or if zones were lost.",
            mixinStandardHelpOptions = true)
    static final class PlanRecovery extends OperatorCommand {
        @Option(
                names = "--lost",
                paramLabel = "ZONE",
                description = "Plan as if this zone were lost now; may be repeated.")
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

    /** An operator's order for one zone. */
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
            description = "Keeps all machines of an unreachable zone until the zone is released.",
            mixinStandardHelpOptions = true)
    static final class Hold extends ZoneOrder {
        Hold() {
            super("/ops/zones/hold");
        }
    }

    @Command(
            name = "release",
            description =
                    "Releases the machines of an unreachable zone at once; services that still run"
                            + " there end.",
            mixinStandardHelpOptions = true)
    static final class Release extends ZoneOrder {
        Release() {
            super("/ops/zones/release");
        }
    }
}
