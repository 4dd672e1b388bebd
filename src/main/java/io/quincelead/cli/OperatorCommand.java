package io.quincelead.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.transport.WireFormat;
import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Base of the commands: sends a request to any controller and prints the response as a table or as
 * JSON.
 */
abstract class OperatorCommand implements Callable<Integer> {
    private static final int EXIT_DONE = 0;
    private static final int EXIT_UNUSABLE_INPUT = 1;
    private static final int EXIT_OUTCOME_UNKNOWN = 3;
    private static final int EXIT_REFUSED = 4;
    private static final int EXIT_UNREACHABLE = 5;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final String path;
    private final List<String> columns;

    @Mixin private ControllerClient.ControllerAddresses controllerAddresses;

    @Option(names = "--json", description = "Print the response as JSON, as it was received.")
    private boolean printJson;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /**
     * @param path path at which controllers serve the command
     * @param columns fields of the response's list that are printed, in order; none if it has no
     *     list
     */
    OperatorCommand(String path, String... columns) {
        this.path = path;
        this.columns = List.of(columns);
    }

    /**
     * Adds the command's arguments to the request.
     *
     * @throws Settings.InvalidSettingsException if a file that the command names can't be used
     */
    void addRequestFields(ObjectNode request) throws Settings.InvalidSettingsException {}

    @Override
    public final Integer call() {
        PrintWriter err = spec.commandLine().getErr();
        ObjectNode request = WireFormat.newMap();
        ControllerClient.Response response;
        try {
            addRequestFields(request);
            response = ControllerClient.send(controllerAddresses, path, request);
        } catch (Settings.InvalidSettingsException e) {
            err.println("quincelead: " + e.getMessage());
            return EXIT_UNUSABLE_INPUT;
        }
        if (response == null) {
            return reportUnreachable(request, err);
        }
        print(response, err);
        if (response.body().path("unknown").asBoolean()) {
            err.println("quincelead: repeat with --change " + request.path("change").asText());
            return EXIT_OUTCOME_UNKNOWN;
        }
        return switch (response.status()) {
            case STATUS_OK -> EXIT_DONE;
            case STATUS_UNAVAILABLE -> EXIT_UNREACHABLE;
            default -> EXIT_REFUSED;
        };
    }

    /**
     * Reports that no controller answers. A change may have been made all the same, so its outcome
     * is unknown.
     */
    private static int reportUnreachable(ObjectNode request, PrintWriter err) {
        if (!request.has("change")) {
            err.println("quincelead: no controller answers");
            return EXIT_UNREACHABLE;
        }
        err.println(
                "quincelead: no controller answers; if one took it, a repeat with --change "
                        + request.path("change").asText()
                        + " changes nothing more");
        return EXIT_OUTCOME_UNKNOWN;
    }

    private void print(ControllerClient.Response response, PrintWriter err) {
        PrintWriter out = spec.commandLine().getOut();
        ObjectNode body = response.body();
        if (printJson) {
            out.println(body);
        } else if (response.status() == STATUS_OK) {
            ResponsePrinter.print(body, columns, out);
        } else {
            err.println(
                    "quincelead: "
                            + body.path("error").asText()
                            + " ("
                            + body.path("by").asText()
                            + ")");
        }
    }
}
