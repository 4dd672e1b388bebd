/**
 * The program: its command line, the start on real sockets, and {@link
 * io.quincelead.app.Controller}, which connects all components of a controller.
 *
 * <p>It owns no state besides the components. It must not make decisions itself: anything but
 * wiring and the routing of requests belongs in a component's package.
 */
package io.quincelead.app;
