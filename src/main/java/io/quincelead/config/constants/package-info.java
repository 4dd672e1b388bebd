/**
 * All numeric constants of the service, one class for each concern. Each name ends with the unit of
 * its value.
 *
 * <p>The package holds no state. Numbers that an operator may want to change belong in {@link
 * io.quincelead.config.OperatorSettings}, numbers that the platform provides in {@link
 * io.quincelead.config.Settings}. These classes must not contain logic.
 */
package io.quincelead.config.constants;
