package io.quincelead.store;

import io.quincelead.config.Settings;
import io.quincelead.eventloop.EventLoop;

/** A store that never answers, for tests that put records into a watch cache themselves. */
public final class UnresponsiveStore {
    private static final int REQUESTS_PER_SECOND = 100;

    private UnresponsiveStore() {}

    /** A client whose requests get no answer. */
    public static StoreClient client(EventLoop loop, Settings settings) {
        return new StoreClient(
                loop, (address, method, path, codec, body, ms, reply) -> {}, settings);
    }

    /** A watch cache that holds only what is applied to it. */
    public static WatchCache watchCache(EventLoop loop, Settings settings) {
        return new WatchCache(loop, client(loop, settings), REQUESTS_PER_SECOND);
    }
}
