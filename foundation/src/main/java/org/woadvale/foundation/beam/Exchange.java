package org.woadvale.foundation.beam;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;
import org.woadvale.foundation.lantern.Pauses;
import org.woadvale.foundation.lantern.Schedules;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Matches answers to asks on one stream; bounds what is in flight. Shared by real and fake beams. */
public final class Exchange {
    private static final int MAX_IN_FLIGHT = 4096;
    private final Map<Long, Sinks.One<Object>> open = new ConcurrentHashMap<>();
    private final AtomicLong ids = new AtomicLong();
    private final Schedules schedules;

    public Exchange(Schedules schedules) {
        this.schedules = schedules;
    }

    public Mono<Object> ask(Object body, Duration limit, Consumer<Frame> send) {
        return Mono.defer(() -> {
            if (open.size() >= MAX_IN_FLIGHT) {
                return Mono.error(new Fault(ErrorKind.QUEUE_FULL, "Too many asks in flight on one stream."));
            }
            long id = ids.incrementAndGet();
            Sinks.One<Object> sink = Sinks.one();
            open.put(id, sink);
            send.accept(new Frame(id, Frame.Kind.ASK, body));
            return Pauses.limit(schedules, sink.asMono(), limit,
                new Fault(ErrorKind.UNKNOWN_OUTCOME, "No answer in time.")).doFinally(s -> open.remove(id));
        });
    }

    public void answered(Frame f) {
        Optional.ofNullable(open.remove(f.id())).ifPresent(sink -> {
            if (f.kind() == Frame.Kind.REFUSAL) {
                Frame.Refusal r = (Frame.Refusal) f.body();
                sink.tryEmitError(new Fault(ErrorKind.valueOf(r.kind()), r.message(), r.details()));
            } else {
                sink.tryEmitValue(f.body());
            }
        });
    }

    /** The stream has gone: every open ask has an unknown outcome. */
    public void lost() {
        open.keySet().forEach(id -> Optional.ofNullable(open.remove(id)).ifPresent(sink ->
            sink.tryEmitError(new Fault(ErrorKind.UNKNOWN_OUTCOME, "The stream was lost."))));
    }

    /** Runs the handler and turns its result into the frame to send back. */
    public static Mono<Frame> serve(Router router, String from, Frame ask) {
        return Mono.<Object>from(router.handle(from, ask.body()))
            .map(o -> new Frame(ask.id(), Frame.Kind.ANSWER, o))
            .onErrorResume(e -> {
                Fault f = Fault.of(e);
                return Mono.just(new Frame(ask.id(), Frame.Kind.REFUSAL,
                    new Frame.Refusal(f.kind().name(), String.valueOf(f.getMessage()), f.details())));
            });
    }
}
