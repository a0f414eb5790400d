/** Rate limits over many nodes: an aggregate bucket grants tokens in batches to local ones. */
package org.woadvale.common.ratelimit;
