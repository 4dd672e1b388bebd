/**
 * The operators' command line: turns a command into one JSON request to a controller and prints the
 * response. It owns no state beyond one run and decides nothing: what a command means is decided by
 * the controllers. It must not import the scheduler's packages, only settings and transport.
 */
package io.quincelead.cli;
