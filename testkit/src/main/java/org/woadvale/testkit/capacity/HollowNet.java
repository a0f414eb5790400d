package org.woadvale.testkit.capacity;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.Frame;
import org.woadvale.common.rpc.PendingCalls;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.testkit.simulation.Sim;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Streams between hollow machines: the shipped codec writes and reads each frame, nothing is lost. design 3 */
final class HollowNet {
    private final Sim sim;
    private final Map<String, HollowHost> hosts = new HashMap<>();

    HollowNet(Sim sim) {
        this.sim = sim;
    }

    void add(HollowHost h) {
        hosts.put(h.address, h);
    }

    RpcClient rpc(HollowHost self, Codec codec) {
        return new HollowRpc(self, codec);
    }

    private Duration delay() {
        return sim.between(100, 1500);
    }

    private final class HollowRpc implements RpcClient {
        private final HollowHost self;
        private final Codec codec;

        HollowRpc(HollowHost self, Codec codec) {
            this.self = self;
            this.codec = codec;
        }

        @Override
        public String self() {
            return self.address;
        }

        /** Fails as the real one does: unreachable, unknown outcome, or the peer's own fault. */
        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            return Mono.defer(() -> {
                        Sinks.One<Frame> sink = Sinks.one();
                        TimerHandle late = self.after(
                                limit,
                                () -> sink.tryEmitError(
                                        new ServiceException(ErrorKind.UNKNOWN_OUTCOME, "No answer in time.")));
                        byte[] bytes = codec.write(new Frame(1, Frame.Kind.REQUEST, body));
                        self.passed(bytes.length);
                        sim.after(delay(), () -> arrive(to, bytes, sink));
                        return sink.asMono().doFinally(s -> late.cancel());
                    })
                    .flatMap(f -> f.kind() == Frame.Kind.ERROR
                            ? Mono.<T>error(fault((Frame.ErrorResponse) f.body()))
                            : Mono.just(answer.cast(f.body())));
        }

        private ServiceException fault(Frame.ErrorResponse r) {
            return new ServiceException(ErrorKind.valueOf(r.kind()), r.message(), r.details());
        }

        private void arrive(String to, byte[] bytes, Sinks.One<Frame> sink) {
            Optional<HollowHost> target = Optional.ofNullable(hosts.get(to)).filter(HollowHost::alive);
            if (target.isEmpty()) {
                self.work(() ->
                        sink.tryEmitError(new ServiceException(ErrorKind.UNREACHABLE, "No stream to " + to + ".")));
                return;
            }
            HollowHost t = target.get();
            t.passed(bytes.length);
            t.asked();
            t.work(() ->
                    PendingCalls.serve(t.router(), self.address, read(bytes)).subscribe(f -> back(t, f, sink)));
        }

        private void back(HollowHost from, Frame f, Sinks.One<Frame> sink) {
            byte[] bytes = codec.write(f);
            from.passed(bytes.length);
            sim.after(delay(), () -> {
                self.passed(bytes.length);
                self.work(() -> sink.tryEmitValue(read(bytes)));
            });
        }

        private Frame read(byte[] bytes) {
            try {
                return codec.read(bytes, Frame.class);
            } catch (ServiceException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
