package io.quincelead.config.constants;

/** Constants of the operators' command line. Each name ends with the unit of its value. */
public final class CliConstants {
    /** Time for which an operator's command waits for a controller's response. */
    public static final long OPERATOR_COMMAND_TIMEOUT_MILLIS = 2_500;

    private CliConstants() {}
}
