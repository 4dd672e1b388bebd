/**
 * Every fixed number of the service, one class for each concern, each with its unit in its name.
 *
 * <p>Owned state: none. Numbers that an operator may want to change belong in {@link
 * io.quincelead.config.OperatorSettings}, numbers that the platform provides in {@link
 * io.quincelead.config.Settings}. These classes must not contain logic.
 */
package io.quincelead.config.constants;
