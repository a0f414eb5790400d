package org.woadvale.dataplane.ingress;

import java.time.Instant;
import java.util.Map;
import org.woadvale.common.config.Configuration;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.RouteTerms;

/**
 * A submission with a valid key and lane.
 *
 * @param tenant the tenant of the key; empty if the lane requires no key
 * @param envelope the envelope of the submission; names the tenant as processors know it if its internal name differs
 * @param hash distinguishes a repeat from different content under the same id
 * @param anyPartition whether any partition may accept it, since a repeat of it counts as a new message
 */
record CheckedSubmission(
        Submission submission, String tenant, Map<String, String> envelope, String hash, boolean anyPartition) {

    /** Returns the command that accepts the submission under the present terms of its lane. */
    MessageCommands.Accept command(Configuration.Lane lane, Instant now) {
        return new MessageCommands.Accept(
                tenant,
                submission.lane(),
                submission.id(),
                submission.orderKey(),
                submission.body(),
                hash,
                RouteTerms.of(lane),
                now.plusMillis(submission.delayMs()),
                now,
                envelope);
    }
}
