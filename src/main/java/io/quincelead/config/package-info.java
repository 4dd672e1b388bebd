/**
 * What a controller is told at its start: {@link io.quincelead.config.Settings} from the platform
 * (TOML), {@link io.quincelead.config.OperatorSettings} from the operators (JSON).
 *
 * <p>Duty: reads, checks and names what is wrong in a file, once. Owned state: none; all values are
 * immutable. It must not depend on any other package of the project, nor read a file again after
 * the start. The names of fields in the files are fixed; the Java names needn't follow them.
 */
package io.quincelead.config;
