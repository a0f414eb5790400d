/** The replicated state of a control partition. */
package org.woadvale.controlplane.state;
