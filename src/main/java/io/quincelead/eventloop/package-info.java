/**
 * The event loop that owns all state of a controller.
 *
 * <p>It is the only source of time and of deferred execution for all code except I/O (sockets) and
 * the programs' entry points, so that simulations can inject both. The package holds no state;
 * implementations hold the queue. Code on the loop must not block, start threads or read the system
 * clock.
 */
package io.quincelead.eventloop;
