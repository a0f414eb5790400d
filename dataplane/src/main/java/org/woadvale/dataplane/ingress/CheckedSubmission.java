package org.woadvale.dataplane.ingress;

import java.time.Instant;
import java.util.Map;
import org.woadvale.common.config.Configuration;
import org.woadvale.dataplane.queue.MessageCommands;
import org.woadvale.dataplane.queue.RouteTerms;

/**
 * A submission whose key and lane were found valid.
 *
 * @param tenant the key's tenant, empty where the lane asks for no key
 * @param envelope the submission's, with the name by which processors know the tenant where it has another one here
 * @param hash tells a repeat from other content under the same id
 * @param anyPartition whether any partition may take it, since a repeat of it is a message of its own
 */
record CheckedSubmission(
        Submission submission, String tenant, Map<String, String> envelope, String hash, boolean anyPartition) {

    /** The command that accepts it now, on the terms that the lane has now. */
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
