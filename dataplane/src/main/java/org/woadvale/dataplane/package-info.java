/** The data plane program: intakes take messages, stores keep and deliver them. */
package org.woadvale.dataplane;
