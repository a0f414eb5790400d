/** A control node: its replicas, its request handlers, and its startup and shutdown. */
package org.woadvale.controlplane.node;
