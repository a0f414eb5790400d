/** The revisions of the configuration and the decisions on its updates. */
package org.woadvale.controlplane.configuration;
