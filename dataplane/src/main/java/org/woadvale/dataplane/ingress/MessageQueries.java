package org.woadvale.dataplane.ingress;

import java.time.Duration;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.error.NotFoundException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnauthorizedException;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.delivery.PartitionClient;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/** Looks up a message by its handle, on any intake. (docs/design.md, section 9.6) */
public final class MessageQueries {
    private static final Duration TIMEOUT = Duration.ofMillis(1800);
    private static final String HANDLE_PATTERN = "m[0-9]{1,4}-[0-9]{1,18}";
    private final ConfigurationView configurations;
    private final PartitionClient forwarder;

    /** Queries through one node. */
    public MessageQueries(ConfigurationView configurations, PartitionClient forwarder) {
        this.configurations = configurations;
        this.forwarder = forwarder;
    }

    static String partitionOf(String handle) throws ServiceException {
        String partition = handle.replaceAll("-.*", "");
        if (!handle.matches(HANDLE_PATTERN) || !ServiceNames.messagePartitions().contains(partition)) {
            throw new NotFoundException("No such message.");
        }
        return partition;
    }

    /** Returns the message if it belongs to the tenant of the key; otherwise NOT_FOUND, as for an unknown message. */
    public Mono<Message> message(String secret, String handle) {
        return Mono.defer(() -> {
            try {
                Configuration.Key key = configurations
                        .requireFresh()
                        .key(secret)
                        .filter(k -> k.role() == Configuration.Role.CALLER)
                        .orElseThrow(() -> new UnauthorizedException("The key is missing, wrong or withdrawn."));
                String partition = partitionOf(handle);
                return forwarder.call(
                        partition,
                        new MessageCommands.StatusRequest(partition, handle, key.tenant()),
                        Message.class,
                        TIMEOUT);
            } catch (ServiceException failure) {
                return Mono.error(failure);
            }
        });
    }
}
