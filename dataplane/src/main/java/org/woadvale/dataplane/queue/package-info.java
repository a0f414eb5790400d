/** The messages of a partition: their states, their order, their replicated state machine. */
package org.woadvale.dataplane.queue;
