package org.woadvale.testkit.capacity;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.rpc.Codec;
import org.woadvale.common.rpc.Frame;
import org.woadvale.common.rpc.PendingCalls;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.TimerHandle;
import org.woadvale.testkit.simulation.Simulator;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The simulated network between hollow machines. Each frame is encoded and decoded by the production codec; no frame is
 * lost. (docs/design.md, section 3)
 */
final class HollowNet {
    private final Simulator sim;
    private final Map<String, HollowHost> hosts = new HashMap<>();

    HollowNet(Simulator sim) {
        this.sim = sim;
    }

    void add(HollowHost host) {
        hosts.put(host.address, host);
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

        /** Fails like the production client: unreachable, outcome unknown, or the error that the peer returned. */
        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            return Mono.defer(() -> {
                        Sinks.One<Frame> sink = Sinks.one();
                        TimerHandle timeout = self.after(
                                limit, () -> sink.tryEmitError(new OutcomeUnknownException("No answer in time.")));
                        byte[] bytes = codec.write(new Frame(1, Frame.Kind.REQUEST, body));
                        self.countFrame(bytes.length);
                        sim.after(delay(), () -> deliverRequest(to, bytes, sink));
                        return sink.asMono().doFinally(signal -> timeout.cancel());
                    })
                    .flatMap(frame -> frame.kind() == Frame.Kind.ERROR
                            ? Mono.<T>error(exceptionOf((Frame.ErrorResponse) frame.body()))
                            : Mono.just(answer.cast(frame.body())));
        }

        private ServiceException exceptionOf(Frame.ErrorResponse error) {
            return ServiceException.of(ErrorKind.valueOf(error.kind()), error.message(), error.details());
        }

        private void deliverRequest(String to, byte[] bytes, Sinks.One<Frame> sink) {
            Optional<HollowHost> target = Optional.ofNullable(hosts.get(to)).filter(HollowHost::alive);
            if (target.isEmpty()) {
                self.runMeasured(() -> sink.tryEmitError(new UnreachableException("No stream to " + to + ".")));
                return;
            }
            HollowHost host = target.get();
            host.countFrame(bytes.length);
            host.countRequest();
            host.runMeasured(() -> PendingCalls.serve(host.router(), self.address, read(bytes))
                    .subscribe(frame -> sendResponse(host, frame, sink)));
        }

        private void sendResponse(HollowHost from, Frame frame, Sinks.One<Frame> sink) {
            byte[] bytes = codec.write(frame);
            from.countFrame(bytes.length);
            sim.after(delay(), () -> {
                self.countFrame(bytes.length);
                self.runMeasured(() -> sink.tryEmitValue(read(bytes)));
            });
        }

        private Frame read(byte[] bytes) {
            try {
                return codec.read(bytes, Frame.class);
            } catch (ServiceException failure) {
                throw new IllegalStateException(failure);
            }
        }
    }
}
