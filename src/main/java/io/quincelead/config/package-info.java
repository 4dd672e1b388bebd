/**
 * The settings that a controller reads at startup: {@link io.quincelead.config.Settings} from the
 * platform (TOML), {@link io.quincelead.config.OperatorSettings} from the operators (JSON).
 *
 * <p>The package reads and validates each file once and reports what is wrong in it. It holds no
 * state; all values are immutable. It must not depend on any other package of the project, nor read
 * a file again after startup. The names of fields in the files are fixed; the Java names may
 * differ.
 */
package io.quincelead.config;
