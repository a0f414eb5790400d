/** The requests of callers and processors to an intake, and the forwarding of messages to their stores. */
package org.woadvale.dataplane.ingress;
