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
 * Simulates TCP connections to a machine that loses power: its peers' connections stay open. Data sent on one is lost
 * until TCP retransmits it to the restarted machine, which resets the connection; the retransmission interval doubles
 * each time. A new connection to a machine without power fails after a timeout.
 */
final class SimulatedConnections {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration FIRST_RETRANSMISSION = Duration.ofMillis(200);

    private final Function<String, Optional<Host>> hosts;
    private final boolean detectSilence;
    private final Set<String> poweredOff = new HashSet<>();
    private final Map<String, Duration> poweredOnAt = new HashMap<>();

    /**
     * Creates the connections of a fleet.
     *
     * @param hosts the machines by address; calls to and from unknown addresses pass unchanged
     * @param detectSilence whether a silent connection is closed, instead of only one that is reset
     */
    SimulatedConnections(Function<String, Optional<Host>> hosts, boolean detectSilence) {
        this.hosts = hosts;
        this.detectSilence = detectSilence;
    }

    /** Cuts the power of a machine without closing its connections. */
    void powerOff(String address) {
        poweredOff.add(address);
    }

    /** Restores the power of a machine, which then answers what reaches it. */
    void powerOn(String address) {
        poweredOff.remove(address);
        poweredOnAt.put(address, host(address).sim.now());
    }

    private Host host(String address) {
        return hosts.apply(address).orElseThrow();
    }

    /** Sends the calls of one process over its simulated connections. */
    RpcClient wrap(RpcClient calls) {
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
                if (connection == null && poweredOff.contains(to)) {
                    return Delays.delay(timers(), CONNECT_TIMEOUT)
                            .then(Mono.error(new UnreachableException("No connection to " + to + ".")));
                }
                return callOver(connection == null ? open(to) : connection, to, body, answer, limit);
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
            Connection connection = new Connection(host(to).incarnation(), silence);
            connections.put(to, connection);
            return connection;
        }

        private <T> Mono<T> callOver(Connection connection, String to, Object body, Class<T> answer, Duration limit) {
            long receivedBeforeSending = connection.silence.receiveCount();
            Mono<T> response = isStale(to, connection)
                    ? Mono.<T>never().doOnSubscribe(lost -> noteLost(connection))
                    : calls.call(to, body, answer, limit).doOnNext(received -> connection.silence.onReceived());
            return Delays.timeout(timers(), response, limit, new OutcomeUnknownException("No answer in time."))
                    .doOnError(
                            OutcomeUnknownException.class,
                            e -> connection.silence.onUnanswered(receivedBeforeSending, limit));
        }

        private boolean isStale(String to, Connection connection) {
            return poweredOff.contains(to) || host(to).incarnation() != connection.peerLife;
        }

        private void noteLost(Connection connection) {
            if (connection.firstLostAt.isZero()) {
                connection.firstLostAt = timers().sim.now();
            }
        }

        /** Whether TCP has retransmitted lost data to a machine that has power again. */
        private boolean isReset(String to, Connection connection) {
            if (poweredOff.contains(to) || connection.firstLostAt.isZero() || !isStale(to, connection)) {
                return false;
            }
            Duration backAt = poweredOnAt.getOrDefault(to, Duration.ZERO);
            Duration interval = FIRST_RETRANSMISSION;
            Duration attemptAt = connection.firstLostAt.plus(interval);
            while (attemptAt.compareTo(backAt) < 0) {
                interval = interval.multipliedBy(2);
                attemptAt = attemptAt.plus(interval);
            }
            return timers().sim.now().compareTo(attemptAt) >= 0;
        }
    }
}
