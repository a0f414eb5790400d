/** One control node: its replicas, what it answers, and its way in and out. */
package org.woadvale.controlplane.node;
