/** Who the members of the core are, and whether this node is in contact with them. */
package org.woadvale.controlplane.membership;
