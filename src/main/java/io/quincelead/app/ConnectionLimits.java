package io.quincelead.app;

import io.quincelead.config.Settings;
import io.quincelead.config.constants.TransportConstants;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * How a process shares out the connections it may have.
 *
 * @param criticalAddresses the other controllers, the store and the cloud, whose connections nobody
 *     else takes
 * @param maxSharedConnections connections of calls to all other addresses, the workers
 * @param maxServerConnections connections of users and workers
 */
record ConnectionLimits(
        Set<String> criticalAddresses, int maxSharedConnections, int maxServerConnections) {
    static ConnectionLimits of(Settings settings) {
        int maxConnections = settings.processLimits().maxConnections();
        Set<String> criticalAddresses = new HashSet<>(settings.peerAddresses().values());
        criticalAddresses.addAll(List.of(settings.storeAddress(), settings.cloudAddress()));
        double workerCalls = maxConnections * TransportConstants.WORKER_CALLS_CONNECTION_FRACTION;
        int maxSharedConnections = Math.max(1, (int) workerCalls);
        int left =
                maxConnections
                        - maxSharedConnections
                        - criticalAddresses.size() * TransportConstants.MAX_CONNECTIONS_PER_ADDRESS
                        - TransportConstants.MAX_PEER_CONNECTIONS
                        - TransportConstants.RESERVED_CONNECTIONS;
        return new ConnectionLimits(
                criticalAddresses, maxSharedConnections, Math.max(maxConnections / 2, left));
    }
}
