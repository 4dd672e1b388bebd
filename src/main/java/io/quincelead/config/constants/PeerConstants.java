package io.quincelead.config.constants;

/** Fixed numbers of the peer code, each with its unit and the reason for its value. */
public final class PeerConstants {
    /**
     * ms. A peer's word on its machines counts this long; without it the leader leaves that block
     * alone.
     */
    public static final long STATUS_VALID_MILLIS = 3_000;

    /** ms. Controllers tell the leader of their machines' fitness this often. */
    public static final long STATUS_INTERVAL_MILLIS = 700;

    private PeerConstants() {}
}
