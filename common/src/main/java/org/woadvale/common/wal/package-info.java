/** The write-ahead log of a process: a ring of preallocated files with group commit. */
package org.woadvale.common.wal;
