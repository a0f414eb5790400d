package org.woadvale.dataplane.delivery;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.replication.Env;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.dataplane.queue.Commands;
import reactor.core.publisher.Mono;

/** Records an ending with whichever store owns the part now, until it is committed: design 9.3. */
public final class Recorder {
    private static final Logger LOG = LogManager.getLogger("launch");
    private static final Duration EACH = Duration.ofSeconds(2);
    private static final Duration AGAIN = Duration.ofMillis(200);
    private static final Duration GIVE_UP = Duration.ofMinutes(10);
    private final Env env;
    private final SubmitForwarder forwarder;

    public Recorder(Env env, SubmitForwarder forwarder) {
        this.env = env;
        this.forwarder = forwarder;
    }

    public Mono<Boolean> record(String part, Commands.End end, String processor) {
        return record(part, end, processor, env.times().mono().plus(GIVE_UP));
    }

    private Mono<Boolean> record(String part, Commands.End end, String processor, Duration until) {
        Commands.OutcomeAsk ask = new Commands.OutcomeAsk(part, end, processor, "");
        return forwarder
                .ask(part, ask, Commands.Changed.class, EACH)
                .map(Commands.Changed::done)
                .onErrorResume(e -> {
                    ServiceException f = ServiceException.of(e);
                    if (f.kind() == ErrorKind.NOT_FOUND) {
                        return Mono.just(false);
                    }
                    if (env.times().mono().compareTo(until) >= 0) {
                        LOG.error("launch: gave up recording the end of {}: {}", end.handle(), f.getMessage());
                        return Mono.just(false);
                    }
                    return org.woadvale.common.runtime.Delays.pause(env.schedules(), AGAIN)
                            .then(Mono.defer(() -> record(part, end, processor, until)));
                });
    }
}
