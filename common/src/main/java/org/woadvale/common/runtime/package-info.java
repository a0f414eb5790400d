/** Time, timers, locks and the supervised components of a process. */
package org.woadvale.common.runtime;
