/**
 * The program: its command line, the start on real sockets, and {@link
 * io.quincelead.app.Controller}, which connects all parts of a controller.
 *
 * <p>It owns no state beside the parts. It must not decide anything itself: what isn't wiring or
 * routing of requests belongs into a part's package.
 */
package io.quincelead.app;
