/** Placement of the replicas of the message partitions on stores. */
package org.woadvale.controlplane.placement;
