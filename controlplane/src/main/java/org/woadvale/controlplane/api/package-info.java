/** What operators and the platform ask a control node, over HTTP, and what control nodes ask one another for them. */
package org.woadvale.controlplane.api;
