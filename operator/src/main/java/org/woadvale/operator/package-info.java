/** Runbooks for operators: files of HTTP and manual steps that are validated, shown and executed. */
package org.woadvale.operator;
