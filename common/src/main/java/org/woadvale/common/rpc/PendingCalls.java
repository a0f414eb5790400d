package org.woadvale.common.rpc;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.Timers;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Matches answers to asks on one stream; bounds what is in flight. Shared by real and fake rpcs. */
public final class PendingCalls {
    private static final int MAX_IN_FLIGHT = 4096;
    private final Map<Long, Sinks.One<Object>> open = new ConcurrentHashMap<>();
    private final AtomicLong ids = new AtomicLong();
    private final Timers schedules;

    public PendingCalls(Timers schedules) {
        this.schedules = schedules;
    }

    public Mono<Object> ask(Object body, Duration limit, Consumer<Frame> send) {
        return Mono.defer(() -> {
            if (open.size() >= MAX_IN_FLIGHT) {
                return Mono.error(new ServiceException(ErrorKind.QUEUE_FULL, "Too many asks in flight on one stream."));
            }
            long id = ids.incrementAndGet();
            Sinks.One<Object> sink = Sinks.one();
            open.put(id, sink);
            send.accept(new Frame(id, Frame.Kind.ASK, body));
            return Delays.limit(
                            schedules,
                            sink.asMono(),
                            limit,
                            new ServiceException(ErrorKind.UNKNOWN_OUTCOME, "No answer in time."))
                    .doFinally(s -> open.remove(id));
        });
    }

    public void answered(Frame f) {
        Optional.ofNullable(open.remove(f.id())).ifPresent(sink -> {
            if (f.kind() == Frame.Kind.REFUSAL) {
                Frame.Refusal r = (Frame.Refusal) f.body();
                sink.tryEmitError(new ServiceException(ErrorKind.valueOf(r.kind()), r.message(), r.details()));
            } else {
                sink.tryEmitValue(f.body());
            }
        });
    }

    /** The stream has gone: every open ask has an unknown outcome. */
    public void lost() {
        open.keySet()
                .forEach(id -> Optional.ofNullable(open.remove(id))
                        .ifPresent(sink -> sink.tryEmitError(
                                new ServiceException(ErrorKind.UNKNOWN_OUTCOME, "The stream was lost."))));
    }

    /** Runs the handler and turns its result into the frame to send back. */
    public static Mono<Frame> serve(RpcRouter router, String from, Frame ask) {
        return Mono.<Object>from(router.handle(from, ask.body()))
                .map(o -> new Frame(ask.id(), Frame.Kind.ANSWER, o))
                .onErrorResume(e -> {
                    ServiceException f = ServiceException.of(e);
                    return Mono.just(new Frame(
                            ask.id(),
                            Frame.Kind.REFUSAL,
                            new Frame.Refusal(f.kind().name(), String.valueOf(f.getMessage()), f.details())));
                });
    }
}
