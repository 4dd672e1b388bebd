/**
 * The event loop that owns all state of a controller.
 *
 * <p>Duty: the one source of time and of deferred execution for all code that isn't an edge
 * (sockets, programs), so that simulations can inject both. Owned state: none; implementations hold
 * the queue. Code on the loop must not block, start threads or read the system's clock.
 */
package io.quincelead.eventloop;
