/** The data plane: intakes accept messages, stores replicate and deliver them. */
package org.woadvale.dataplane;
