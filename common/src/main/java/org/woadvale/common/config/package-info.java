/** The configuration that operators write, and the settings of a process, with their checks. */
package org.woadvale.common.config;
