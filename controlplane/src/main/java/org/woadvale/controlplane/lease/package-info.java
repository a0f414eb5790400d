/** Leases for service membership and for singletons, managed by the leader of a control partition. */
package org.woadvale.controlplane.lease;
