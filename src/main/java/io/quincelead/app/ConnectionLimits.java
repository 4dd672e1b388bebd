package io.quincelead.app;

import io.quincelead.config.Settings;
import io.quincelead.config.constants.TransportConstants;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * How a process divides the connections that it may open.
 *
 * @param criticalAddresses addresses of the other controllers, the store and the cloud, which have
 *     connections of their own
 * @param maxSharedConnections maximum number of connections for calls to all other addresses, which
 *     are workers'
 * @param maxServerConnections maximum number of inbound connections from users and workers
 */
record ConnectionLimits(
        Set<String> criticalAddresses, int maxSharedConnections, int maxServerConnections) {
    static ConnectionLimits of(Settings settings) {
        int maxConnections = settings.processLimits().maxConnections();
        Set<String> criticalAddresses = new HashSet<>(settings.peerAddresses().values());
        criticalAddresses.addAll(List.of(settings.storeAddress(), settings.cloudAddress()));
        double workerCallConnections =
                maxConnections * TransportConstants.WORKER_CALLS_CONNECTION_FRACTION;
        int maxSharedConnections = Math.max(1, (int) workerCallConnections);
        int remainingConnections =
                maxConnections
                        - maxSharedConnections
                        - criticalAddresses.size() * TransportConstants.MAX_CONNECTIONS_PER_ADDRESS
                        - TransportConstants.MAX_PEER_CONNECTIONS
                        - TransportConstants.RESERVED_CONNECTIONS;
        return new ConnectionLimits(
                criticalAddresses,
                maxSharedConnections,
                Math.max(maxConnections / 2, remainingConnections));
    }
}
