/**
 * HTTP on one thread: the server, the client with its bounded connections, the wire formats and the
 * rate limits of calls. It owns connections and their timers, and no other state.
 *
 * <p>It must not depend on the contents of messages: requests and responses are bytes, or maps in a
 * {@link io.quincelead.transport.WireFormat}. Callbacks run on the event loop. Apart from the
 * packages of the programs, this is the only one that may use sockets, threads and the system
 * clock.
 */
package io.quincelead.transport;
