/** The command line of the programs: settings, startup and orderly shutdown. */
package org.woadvale.common.cli;
