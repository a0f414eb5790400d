/** What nodes ask the control plane: leases, views of services, members of the core. */
package org.woadvale.common.membership;
