package org.woadvale.testkit.explore;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.replication.ReplicationRequest;
import org.woadvale.common.runtime.TimerHandle;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** The messages between the nodes; each is delivered only when the model schedules it. */
final class ModelNetwork {
    /** An outstanding request, as the caller sees it. */
    static final class Call {
        final ModelNode caller;
        final long callerIncarnation;
        final MonoSink<Object> sink;
        boolean open = true;
        TimerHandle timeout = () -> {};

        Call(ModelNode caller, MonoSink<Object> sink) {
            this.caller = caller;
            this.callerIncarnation = caller.incarnation();
            this.sink = sink;
        }
    }

    /** One message in the network. A held message is not delivered by the default schedule. */
    record Message(
            long id, String from, String to, Object body, boolean reply, boolean held, Duration sent, Call call) {
        Message withHeld(long newId) {
            return new Message(newId, from, to, body, reply, true, sent, call);
        }
    }

    private static final int MAX_MESSAGES = 48;
    private final ModelCluster cluster;
    private final List<Message> messages = new ArrayList<>();
    private long lastId;

    ModelNetwork(ModelCluster cluster) {
        this.cluster = cluster;
    }

    List<Message> messages() {
        return messages;
    }

    Optional<Message> find(long id) {
        return messages.stream().filter(message -> message.id() == id).findFirst();
    }

    <T> Mono<T> call(ModelNode caller, String to, Object body, Class<T> responseType, Duration timeout) {
        return Mono.<Object>create(sink -> {
                    Call call = new Call(caller, sink);
                    call.timeout = caller.timers().after(timeout, () -> timedOut(call));
                    add(caller.name(), to, body, false, call);
                })
                .map(responseType::cast);
    }

    private void timedOut(Call call) {
        if (call.open) {
            call.open = false;
            call.sink.error(new OutcomeUnknownException("no answer in time"));
        }
    }

    private void add(String from, String to, Object body, boolean reply, Call call) {
        messages.add(new Message(++lastId, from, to, body, reply, false, cluster.now(), call));
        if (messages.size() > MAX_MESSAGES) {
            messages.remove(0);
        }
    }

    void hold(Message message) {
        messages.set(messages.indexOf(message), message.withHeld(message.id()));
    }

    void duplicate(Message message) {
        messages.add(message.withHeld(++lastId));
        deliver(message);
    }

    void deliver(Message message) {
        messages.remove(message);
        if (message.reply()) {
            deliverReply(message);
        } else {
            deliverRequest(message);
        }
    }

    private void deliverRequest(Message message) {
        ModelNode target = cluster.node(message.to());
        long incarnation = target.incarnation();
        target.handle(message.from(), (ReplicationRequest) message.body())
                .subscribe(
                        reply -> sendReply(message, target, incarnation, reply),
                        error -> sendReply(message, target, incarnation, cluster.recordIfUnexpected(error)));
    }

    private void sendReply(Message request, ModelNode target, long incarnation, Object body) {
        if (target.incarnation() == incarnation && isAwaited(request.call())) {
            add(request.to(), request.from(), body, true, request.call());
        }
    }

    private static boolean isAwaited(Call call) {
        return call.open && call.caller.incarnation() == call.callerIncarnation;
    }

    private void deliverReply(Message message) {
        Call call = message.call();
        if (!isAwaited(call)) {
            return;
        }
        call.open = false;
        call.timeout.cancel();
        if (message.body() instanceof ServiceException error) {
            call.sink.error(error);
        } else {
            call.sink.success(message.body());
        }
    }

    /** Drops replies whose caller has restarted or no longer waits, as they have no effect. */
    void dropUnawaitedReplies() {
        messages.removeIf(message -> message.reply() && !isAwaited(message.call()));
    }
}
