/** Service discovery: views of services from the control plane, with the age of their last confirmation. */
package org.woadvale.common.discovery;
