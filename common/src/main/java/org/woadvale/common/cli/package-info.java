/** What the programs have in common on their command line: settings, start and orderly stop. */
package org.woadvale.common.cli;
