/** Views of services as the control plane knows them, with the age of their confirmation. */
package org.woadvale.common.discovery;
