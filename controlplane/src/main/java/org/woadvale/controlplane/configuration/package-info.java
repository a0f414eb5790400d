/** The revisions of the configuration and which updates were decided how. */
package org.woadvale.controlplane.configuration;
