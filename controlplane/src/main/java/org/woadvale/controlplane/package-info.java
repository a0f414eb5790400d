/** The control plane program: configuration, membership, placement and leases for a fleet. */
package org.woadvale.controlplane;
