package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.woadvale.common.error.OutcomeUnknownException;
import org.woadvale.common.error.UnreachableException;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.rpc.SilenceDetector;
import org.woadvale.common.runtime.Delays;
import reactor.core.publisher.Mono;

/**
 * Connections under the simulated calls, as TCP keeps them when a machine loses power: nobody closes those to it. What
 * is sent on one is lost until TCP sends it again to the machine that is back, which resets it; the pauses between
 * these attempts double. A new connection to a dark machine fails after a while.
 */
final class SimulatedConnections {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration FIRST_RETRANSMISSION = Duration.ofMillis(200);

    private final Function<String, Optional<Host>> hosts;
    private final boolean detectSilence;
    private final Set<String> dark = new HashSet<>();
    private final Map<String, Duration> lightenedAt = new HashMap<>();

    /**
     * Connections of a fleet.
     *
     * @param hosts its machines by address; calls to and from unknown ones pass as they are
     * @param detectSilence whether a connection ends by silence, not by a reset only
     */
    SimulatedConnections(Function<String, Optional<Host>> hosts, boolean detectSilence) {
        this.hosts = hosts;
        this.detectSilence = detectSilence;
    }

    /** The machine has no power; its connections are not closed. */
    void darken(String address) {
        dark.add(address);
    }

    /** The machine has power again and answers what reaches it. */
    void lighten(String address) {
        dark.remove(address);
        lightenedAt.put(address, host(address).sim.now());
    }

    private Host host(String address) {
        return hosts.apply(address).orElseThrow();
    }

    /** Puts the connections of one process under its calls. */
    RpcClient under(RpcClient calls) {
        return new ConnectedRpc(calls);
    }

    private static final class Connection {
        final long peerLife;
        final SilenceDetector silence;
        Duration firstLostAt = Duration.ZERO;

        Connection(long peerLife, SilenceDetector silence) {
            this.peerLife = peerLife;
            this.silence = silence;
        }
    }

    private final class ConnectedRpc implements RpcClient {
        private final RpcClient calls;
        private final Map<String, Connection> connections = new HashMap<>();

        ConnectedRpc(RpcClient calls) {
            this.calls = calls;
        }

        @Override
        public String self() {
            return calls.self();
        }

        @Override
        public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
            if (to.equals(self()) || !isSimulated(to)) {
                return calls.call(to, body, answer, limit);
            }
            return Mono.defer(() -> {
                Connection connection = connections.get(to);
                if (connection != null && isReset(to, connection)) {
                    connections.remove(to, connection);
                    return Mono.error(new OutcomeUnknownException("The connection was reset."));
                }
                if (connection == null && dark.contains(to)) {
                    return Delays.delay(timers(), CONNECT_TIMEOUT)
                            .then(Mono.error(new UnreachableException("No connection to " + to + ".")));
                }
                return callOn(connection == null ? open(to) : connection, to, body, answer, limit);
            });
        }

        private boolean isSimulated(String to) {
            return hosts.apply(to).isPresent();
        }

        private Host timers() {
            return host(self());
        }

        private Connection open(String to) {
            SilenceDetector silence = new SilenceDetector(timers(), Runnable::run, () -> {
                if (detectSilence) {
                    connections.remove(to);
                }
            });
            Connection connection = new Connection(host(to).life(), silence);
            connections.put(to, connection);
            return connection;
        }

        private <T> Mono<T> callOn(Connection connection, String to, Object body, Class<T> answer, Duration limit) {
            long receptionsAtSending = connection.silence.receiveCount();
            Mono<T> work = isDead(to, connection)
                    ? Mono.<T>never().doOnSubscribe(lost -> noteLost(connection))
                    : calls.call(to, body, answer, limit).doOnNext(received -> connection.silence.onReceived());
            return Delays.timeout(timers(), work, limit, new OutcomeUnknownException("No answer in time."))
                    .doOnError(
                            OutcomeUnknownException.class,
                            e -> connection.silence.onUnanswered(receptionsAtSending, limit));
        }

        private boolean isDead(String to, Connection connection) {
            return dark.contains(to) || host(to).life() != connection.peerLife;
        }

        private void noteLost(Connection connection) {
            if (connection.firstLostAt.isZero()) {
                connection.firstLostAt = timers().sim.now();
            }
        }

        /** TCP has sent again what was lost, to a machine that is back. */
        private boolean isReset(String to, Connection connection) {
            if (dark.contains(to) || connection.firstLostAt.isZero() || !isDead(to, connection)) {
                return false;
            }
            Duration backAt = lightenedAt.getOrDefault(to, Duration.ZERO);
            Duration pause = FIRST_RETRANSMISSION;
            Duration attemptAt = connection.firstLostAt.plus(pause);
            while (attemptAt.compareTo(backAt) < 0) {
                pause = pause.multipliedBy(2);
                attemptAt = attemptAt.plus(pause);
            }
            return timers().sim.now().compareTo(attemptAt) >= 0;
        }
    }
}
