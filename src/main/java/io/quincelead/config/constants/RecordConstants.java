package io.quincelead.config.constants;

/** Fixed numbers of the record code, each with its unit and the reason for its value. */
public final class RecordConstants {
    /**
     * Tasks. One chunk record holds this many; 200 placements take about 5 KiB, under the 8 KiB a
     * value may have.
     */
    public static final int TASKS_PER_STATE_PAGE = 200;

    /**
     * Characters of a record of machines up to which their images are recorded with them; a value
     * may have 8 KiB.
     */
    public static final int MAX_MACHINE_RECORD_CHARS = 7_000;

    private RecordConstants() {}
}
