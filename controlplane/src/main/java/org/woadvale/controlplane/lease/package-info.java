/** Leases of nodes and of singletons, on the leader of a control partition. */
package org.woadvale.controlplane.lease;
