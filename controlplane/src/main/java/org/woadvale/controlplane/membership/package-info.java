/** Membership of the core, and this node's contact with its members. */
package org.woadvale.controlplane.membership;
