package io.quincelead.config.constants;

/** Stored records. The unit ends each name. */
public final class RecordConstants {
    /** Tasks in one task state page; its record must fit a value of 8 KiB. */
    public static final int TASKS_PER_STATE_PAGE = 200;

    /** Characters of a record of machines up to which their images are recorded with them. */
    public static final int MAX_MACHINE_RECORD_CHARS = 7_000;

    private RecordConstants() {}
}
