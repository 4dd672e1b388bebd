package io.quincelead.config.constants;

/**
 * Fixed numbers of the operators' command line. The unit ends each name; each comment states the
 * reason for the value.
 */
public final class CliConstants {
    /**
     * How long an operator's command waits for a controller's response: longer than the controller
     * waits for the store.
     */
    public static final long OPERATOR_COMMAND_TIMEOUT_MILLIS = 2_500;

    private CliConstants() {}
}
