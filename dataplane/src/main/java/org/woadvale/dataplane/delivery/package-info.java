/** From a ready message to its proven end: dispatch, push and pull, outcomes, leases of processors. */
package org.woadvale.dataplane.delivery;
