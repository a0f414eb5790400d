/** Distributed rate limits: the aggregate bucket of a limit grants batches of tokens to the local buckets of nodes. */
package org.woadvale.common.ratelimit;
