/** Copies processor lists from a source that has all of them. */
package org.woadvale.controlplane.registry;
