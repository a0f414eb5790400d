/** Runbooks for operators: files of steps over HTTP that are checked, shown and executed. */
package org.woadvale.operator;
