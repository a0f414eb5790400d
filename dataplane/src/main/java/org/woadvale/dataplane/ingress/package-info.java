/** What callers and processors ask an intake, and how it gets a message to its store. */
package org.woadvale.dataplane.ingress;
