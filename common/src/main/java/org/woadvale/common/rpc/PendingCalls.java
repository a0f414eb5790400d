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

/** Matches responses to requests on one connection and bounds the number in flight. */
public final class PendingCalls {
    private static final int MAX_IN_FLIGHT = 4096;
    private final Map<Long, Sinks.One<Object>> pending = new ConcurrentHashMap<>();
    private final AtomicLong ids = new AtomicLong();
    private final Timers timers;
    private volatile boolean closed;

    /** Creates an instance without pending calls. */
    public PendingCalls(Timers timers) {
        this.timers = timers;
    }

    /** Sends a request and waits for its response; fails as {@link RpcClient#call} does. */
    public Mono<Object> call(Object body, Duration timeout, Consumer<Frame> send) {
        return Mono.defer(() -> {
            if (closed) {
                return Mono.error(notSent());
            }
            if (pending.size() >= MAX_IN_FLIGHT) {
                return Mono.error(new QueueFullException("Too many asks in flight on one stream."));
            }
            long id = ids.incrementAndGet();
            Sinks.One<Object> sink = Sinks.one();
            pending.put(id, sink);
            if (closed) {
                pending.remove(id);
                return Mono.error(notSent());
            }
            try {
                send.accept(new Frame(id, Frame.Kind.REQUEST, body));
            } catch (IllegalStateException e) {
                // the channel is no longer registered with its event loop: it has just closed
                pending.remove(id);
                return Mono.error(notSent());
            }
            return Delays.timeout(timers, sink.asMono(), timeout, new OutcomeUnknownException("No answer in time."))
                    .doFinally(signal -> pending.remove(id));
        });
    }

    private static ServiceException notSent() {
        return new UnreachableException("The stream was lost before this was sent.");
    }

    /**
     * Completes the call that a response belongs to. Responses are matched in order of arrival, so that the first of
     * two responses to a call counts; the call is then completed on the executor. A response without a pending call (a
     * duplicate or a late one) is ignored.
     */
    public void onResponse(Frame frame, Consumer<Runnable> executor) {
        Optional.ofNullable(pending.remove(frame.id()))
                .ifPresent(sink -> executor.accept(() -> {
                    if (frame.kind() == Frame.Kind.ERROR) {
                        sink.tryEmitError(failure(frame.body()));
                    } else {
                        sink.tryEmitValue(frame.body());
                    }
                }));
    }

    /**
     * An error that this build cannot interpret, such as one of a kind introduced by a newer build, leaves the outcome
     * unknown.
     */
    private static ServiceException failure(Object body) {
        if (body instanceof Frame.ErrorResponse error) {
            for (ErrorKind kind : ErrorKind.values()) {
                if (kind.name().equals(error.kind())) {
                    return ServiceException.of(kind, error.message(), error.details());
                }
            }
        }
        return new OutcomeUnknownException("The peer's refusal cannot be read.");
    }

    /** Fails every pending call with an unknown outcome and rejects further calls. */
    public void onConnectionLost() {
        closed = true;
        pending.keySet()
                .forEach(id -> Optional.ofNullable(pending.remove(id))
                        .ifPresent(sink -> sink.tryEmitError(new OutcomeUnknownException("The stream was lost."))));
    }

    /** Runs the handler and turns its result into the frame to send back; simulated networks use it too. */
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
