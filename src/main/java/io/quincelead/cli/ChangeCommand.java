package io.quincelead.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import java.util.UUID;
import picocli.CommandLine.Option;

/** A command that changes operators' records. Its id makes a repeated request idempotent. */
abstract class ChangeCommand extends OperatorCommand {
    @Option(names = "--dry-run", description = "Show what would change, and change nothing.")
    private boolean dryRun;

    @Option(
            names = "--change",
            paramLabel = "ID",
            description = "Id of the change: a repeat with the same id takes effect once.")
    private String changeId;

    ChangeCommand(String path) {
        super(path);
    }

    /**
     * Adds the fields of the change to the request.
     *
     * @throws Settings.InvalidSettingsException if a file that the command names can't be used
     */
    abstract void addChangeFields(ObjectNode request) throws Settings.InvalidSettingsException;

    @Override
    final void addRequestFields(ObjectNode request) throws Settings.InvalidSettingsException {
        if (dryRun) {
            request.put("dryRun", true);
        } else {
            request.put("change", changeId == null ? UUID.randomUUID().toString() : changeId);
        }
        addChangeFields(request);
    }
}
