package io.quincelead.config.constants;

/**
 * Fixed numbers of stored records. The unit ends each name; each comment states the reason for the
 * value.
 */
public final class RecordConstants {
    /**
     * Tasks in one task state page: 200 placements take about 5 KiB, under the 8 KiB limit of a
     * value.
     */
    public static final int TASKS_PER_STATE_PAGE = 200;

    /**
     * Characters of a record of machines up to which their images are recorded with them; the limit
     * of a value is 8 KiB.
     */
    public static final int MAX_MACHINE_RECORD_CHARS = 7_000;

    private RecordConstants() {}
}
