/** On which stores the replicas of the message partitions are. */
package org.woadvale.controlplane.placement;
