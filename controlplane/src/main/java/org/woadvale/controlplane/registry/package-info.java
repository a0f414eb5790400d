/** Takes over the lists of processors from whoever knows them all. */
package org.woadvale.controlplane.registry;
