/**
 * HTTP on one thread: the server, the client with its bounded connections, the wire formats and the
 * rate limits of calls. It owns connections and their timers and nothing else.
 *
 * <p>It must not know what is said over it: requests and responses are bytes, or maps in a {@link
 * io.quincelead.transport.WireFormat}. Callbacks run on the event loop. With the programs' packages
 * it is the only one that may touch sockets, threads and the system's clock.
 */
package io.quincelead.transport;
