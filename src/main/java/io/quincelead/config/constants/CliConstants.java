package io.quincelead.config.constants;

/** The operators' command line. The unit ends each name. */
public final class CliConstants {
    /** How long an operator's command waits for a controller's response. */
    public static final long OPERATOR_COMMAND_TIMEOUT_MILLIS = 2_500;

    private CliConstants() {}
}
