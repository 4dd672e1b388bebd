package io.quincelead.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The command that explains a job's position in the queue. */
@Command(
        name = "explain",
        description = "Why a job is where it is in the queue.",
        mixinStandardHelpOptions = true)
final class ExplainCommand extends OperatorCommand {
    @Parameters(paramLabel = "JOB")
    private String jobId;

    ExplainCommand() {
        super("/ops/explain");
    }

    @Override
    void addRequestFields(ObjectNode request) {
        request.put("job", jobId);
    }
}
