package org.woadvale.common.rpc;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.QueueFullException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.Timers;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Matches answers to asks on one stream; bounds what is in flight. Shared by real and fake rpcs. */
public final class PendingCalls {
    private static final int MAX_IN_FLIGHT = 4096;
    private final Map<Long, Sinks.One<Object>> open = new ConcurrentHashMap<>();
    private final AtomicLong ids = new AtomicLong();
    private final Timers timers;
    private volatile boolean closed;

    /** Without any call. */
    public PendingCalls(Timers timers) {
        this.timers = timers;
    }

    /** Sends a request and waits for its response; fails as {@link RpcClient#call} does. */
    public Mono<Object> call(Object body, Duration limit, Consumer<Frame> send) {
        return Mono.defer(() -> {
            if (closed) {
                return Mono.error(notSent());
            }
            if (open.size() >= MAX_IN_FLIGHT) {
                return Mono.error(new QueueFullException("Too many asks in flight on one stream."));
            }
            long id = ids.incrementAndGet();
            Sinks.One<Object> sink = Sinks.one();
            open.put(id, sink);
            if (closed) {
                open.remove(id);
                return Mono.error(notSent());
            }
            try {
                send.accept(new Frame(id, Frame.Kind.REQUEST, body));
            } catch (IllegalStateException e) {
                // the channel has left its event loop: it closed a moment ago
                open.remove(id);
                return Mono.error(notSent());
            }
            return Delays.timeout(timers, sink.asMono(), limit, new OutcomeUnknownException("No answer in time."))
                    .doFinally(signal -> open.remove(id));
        });
    }

    private static ServiceException notSent() {
        return new UnreachableException("The stream was lost before this was sent.");
    }

    /**
     * Takes a response in the order in which it came, so that of two to one call the first counts; the caller goes on
     * by the executor. A response that no call waits for (a second one, or one that came too late) changes nothing.
     */
    public void onResponse(Frame frame, Consumer<Runnable> executor) {
        Optional.ofNullable(open.remove(frame.id()))
                .ifPresent(sink -> executor.accept(() -> {
                    if (frame.kind() == Frame.Kind.ERROR) {
                        sink.tryEmitError(failure(frame.body()));
                    } else {
                        sink.tryEmitValue(frame.body());
                    }
                }));
    }

    /** A refusal that this build cannot read, such as one of a newer build's kind, says nothing of the outcome. */
    private static ServiceException failure(Object body) {
        if (body instanceof Frame.ErrorResponse refusal) {
            for (ErrorKind kind : ErrorKind.values()) {
                if (kind.name().equals(refusal.kind())) {
                    return ServiceException.of(kind, refusal.message(), refusal.details());
                }
            }
        }
        return new OutcomeUnknownException("The peer's refusal cannot be read.");
    }

    /** The stream has gone: every open ask has an unknown outcome, and none is sent any more. */
    public void onConnectionLost() {
        closed = true;
        open.keySet()
                .forEach(id -> Optional.ofNullable(open.remove(id))
                        .ifPresent(sink -> sink.tryEmitError(new OutcomeUnknownException("The stream was lost."))));
    }

    /** Runs the handler and turns its result into the frame to send back. */
    public static Mono<Frame> serve(RpcRouter router, String from, Frame request) {
        return Mono.<Object>from(router.handle(from, request.body()))
                .map(result -> new Frame(request.id(), Frame.Kind.RESPONSE, result))
                .onErrorResume(e -> {
                    ServiceException failure = ServiceException.of(e);
                    return Mono.just(new Frame(
                            request.id(),
                            Frame.Kind.ERROR,
                            new Frame.ErrorResponse(
                                    failure.kind().name(), String.valueOf(failure.getMessage()), failure.details())));
                });
    }
}
