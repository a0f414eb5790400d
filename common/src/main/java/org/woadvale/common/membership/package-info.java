/** Requests to the control plane and the data that it manages: leases, service views, and members of the core. */
package org.woadvale.common.membership;
