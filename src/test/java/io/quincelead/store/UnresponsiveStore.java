package io.quincelead.store;

import io.quincelead.config.Settings;
import io.quincelead.eventloop.EventLoop;

/** A store that never responds, for tests that apply records to a watch cache directly. */
public final class UnresponsiveStore {
    private static final int REQUESTS_PER_SECOND = 100;

    private UnresponsiveStore() {}

    /** Creates a client whose requests get no response. */
    public static StoreClient client(EventLoop loop, Settings settings) {
        return new StoreClient(
                loop, (address, method, path, codec, body, timeoutMillis, handler) -> {}, settings);
    }

    /** Creates a watch cache that contains only what the test applies to it. */
    public static WatchCache watchCache(EventLoop loop, Settings settings) {
        return new WatchCache(loop, client(loop, settings), REQUESTS_PER_SECOND);
    }
}
