package io.quincelead.config.constants;

/** Fixed numbers of the cli code, each with its unit and the reason for its value. */
public final class CliConstants {
    /**
     * ms. An operator's command waits this long for a controller's answer: longer than that waits
     * for the store.
     */
    public static final long OPERATOR_COMMAND_TIMEOUT_MILLIS = 2_500;

    private CliConstants() {}
}
