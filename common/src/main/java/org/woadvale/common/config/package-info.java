/** The configuration that operators write and the settings of a process, with their validation. */
package org.woadvale.common.config;
