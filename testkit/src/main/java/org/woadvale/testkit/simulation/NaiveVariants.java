package org.woadvale.testkit.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.replication.ReplicationTiming;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.Clock;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.wal.Disk;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/** Stand-ins that leave out one mechanism each; every never-line has a scenario that breaks with one. design 12.3 */
final class NaiveVariants {
    private interface Asking {
        <T> Mono<T> ask(RpcClient b, String to, Object body, Class<T> answer, Duration limit);
    }

    private NaiveVariants() {}

    private static RpcClient rpc(RpcClient b, Asking how) {
        return new RpcClient() {
            @Override
            public String self() {
                return b.self();
            }

            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                return how.ask(b, to, body, answer, limit);
            }
        };
    }

    /** 01: a disk that says "synced" and has not. */
    static Seams lyingDisk() {
        return Seams.none().withDisk((a, d) -> new Disk() {
            @Override
            public java.util.List<String> list() throws java.io.IOException {
                return d.list();
            }

            @Override
            public DiskFile open(String name, int size) throws java.io.IOException {
                DiskFile l = d.open(name, size);
                return new DiskFile() {
                    @Override
                    public int size() throws java.io.IOException {
                        return l.size();
                    }

                    @Override
                    public void write(long pos, byte[] bytes, int length) throws java.io.IOException {
                        l.write(pos, bytes, length);
                    }

                    @Override
                    public void read(long pos, byte[] into, int length) throws java.io.IOException {
                        l.read(pos, into, length);
                    }

                    @Override
                    public void sync() {}
                };
            }

            @Override
            public void setAside() throws java.io.IOException {
                d.setAside();
            }
        });
    }

    /** 02: any 5xx is taken for "later". */
    static Seams anyErrorIsLater() {
        return Seams.none()
                .withPost((a, p) -> c ->
                        p.send(c).map(r -> r.status() >= 500 ? new DeliveryClient.DeliveryResponse(503, r.body()) : r));
    }

    /** 03: an answer that did not come in time is taken for "nothing was sent". */
    static Seams silenceIsNo() {
        return Seams.none()
                .withRpc((a, b) -> rpc(b, new Asking() {
                    @Override
                    public <T> Mono<T> ask(RpcClient x, String to, Object body, Class<T> answer, Duration limit) {
                        return x.call(to, body, answer, limit)
                                .onErrorMap(e -> body instanceof MessageCommands.AcceptRequest
                                                && ServiceException.of(e).kind() == ErrorKind.UNKNOWN_OUTCOME
                                        ? new ServiceException(ErrorKind.UNREACHABLE, "no answer")
                                        : e);
                    }
                }));
    }

    /** 04: a processor that does not answer in time is taken to have refused. */
    static Seams silenceIsRefusal() {
        return Seams.none()
                .withPost((a, p) -> c -> p.send(c)
                        .onErrorResume(e -> ServiceException.of(e).kind() == ErrorKind.UNKNOWN_OUTCOME
                                ? Mono.just(new DeliveryClient.DeliveryResponse(422, new byte[0]))
                                : Mono.error(e)));
    }

    /** 05: submissions without a time by which they must have come; a store's life is learned once and for all. */
    static Seams timelessHandIns() {
        return Seams.none().withRpc((a, b) -> {
            Map<String, Object> clocks = new HashMap<>();
            return rpc(b, new Asking() {
                @Override
                public <T> Mono<T> ask(RpcClient x, String to, Object body, Class<T> answer, Duration limit) {
                    if (body instanceof MessageCommands.ClockRequest) {
                        return clocks.containsKey(to)
                                ? Mono.just(answer.cast(clocks.get(to)))
                                : x.call(to, body, answer, limit).doOnNext(t -> clocks.put(to, t));
                    }
                    return x.call(
                            to,
                            body instanceof MessageCommands.AcceptRequest i
                                    ? new MessageCommands.AcceptRequest(
                                            i.partition(),
                                            i.accept(),
                                            new MessageCommands.RemoteDeadline(
                                                    i.deadline().incarnation(), Duration.ofDays(1)))
                                    : body,
                            answer,
                            limit);
                }
            });
        });
    }

    /** 06: everything is looked at once; what then waits for its stream is sent whatever has become of it. */
    static Seams lookFirstSendLater() {
        return Seams.none()
                .withPost((a, p) -> c -> Mono.defer(() -> {
                    boolean go = c.stillPermitted().getAsBoolean();
                    return p.send(
                            new DeliveryClient.DeliveryRequest(c.method(), c.url(), c.body(), c.timeout(), () -> go));
                }));
    }

    /** 07, 08, 10: who cannot be reached for subscriptions is taken to have none: the last answer is still good. */
    static Seams noNewsIsGoodNews() {
        return Seams.none().withRpc((a, b) -> {
            Map<String, ServiceView> last = new HashMap<>();
            return rpc(b, new Asking() {
                @Override
                public <T> Mono<T> ask(RpcClient x, String to, Object body, Class<T> answer, Duration limit) {
                    if (!(body instanceof ControlMessages.ServiceViewRequest n)) {
                        return x.call(to, body, answer, limit);
                    }
                    return x.call(to, new ControlMessages.ServiceViewRequest(n.knownVersions(), false), answer, limit)
                            .doOnNext(t -> ((ControlMessages.ServiceViewResponse) t)
                                    .views()
                                    .forEach(v -> last.put(v.service(), v)))
                            .onErrorResume(e -> silent(e)
                                            && last.keySet()
                                                    .containsAll(
                                                            n.knownVersions().keySet())
                                    ? Mono.just(answer.cast(anew(n, last)))
                                    : Mono.error(e));
                }
            });
        });
    }

    private static boolean silent(Throwable e) {
        return ServiceException.of(e).kind() == ErrorKind.UNKNOWN_OUTCOME
                || ServiceException.of(e).kind() == ErrorKind.UNREACHABLE;
    }

    static ControlMessages.ServiceViewResponse anew(
            ControlMessages.ServiceViewRequest n, Map<String, ServiceView> last) {
        Map<String, Duration> ages = new HashMap<>();
        java.util.List<ServiceView> views = new java.util.ArrayList<>();
        n.knownVersions()
                .forEach((s, version) -> java.util.Optional.ofNullable(last.get(s))
                        .ifPresent(v -> {
                            ages.put(s, Duration.ZERO);
                            if (v.version() != version) {
                                views.add(v);
                            }
                        }));
        return new ControlMessages.ServiceViewResponse(views, ages, 0);
    }

    /** 09: a machine whose clock stands still for as long as told, as if it had been suspended. */
    static Seams stoppedClock(Predicate<String> stopped) {
        return Seams.none().withTimes((a, t) -> new Clock() {
            private Duration last = Duration.ZERO;

            @Override
            public Duration monotonicTime() {
                last = stopped.test(a) && !last.isZero() ? last : t.monotonicTime();
                return last;
            }

            @Override
            public Instant wallTime() {
                return t.wallTime();
            }
        });
    }

    /** 11: a 200 is enough; the proof is made up. */
    static Seams everySuccessIsProof() {
        return Seams.none().withPost((a, p) -> c -> p.send(c).map(r -> r.status() == 200 ? proven(c, r) : r));
    }

    private static DeliveryClient.DeliveryResponse proven(
            DeliveryClient.DeliveryRequest c, DeliveryClient.DeliveryResponse r) {
        try {
            JsonNode n = Configurations.read(c.body(), JsonNode.class, ErrorKind.BAD_REQUEST);
            Map<String, Object> b = new LinkedHashMap<>();
            b.put("messageId", n.path("messageId").asText());
            b.put("attempt", n.path("attempt").asInt());
            b.put("receipt", "surely");
            return r.body().length > 2 ? r : new DeliveryClient.DeliveryResponse(200, Configurations.write(b));
        } catch (ServiceException e) {
            return r;
        }
    }

    /** 12: leases so long that nobody ever loses one by mistake. */
    static Seams longLeases() {
        Function<Duration, Duration> longer = d -> d.multipliedBy(10);
        return Seams.none()
                .withTiming(p -> new ReplicationTiming(
                        longer.apply(p.lease()), p.heartbeat(), p.tick(), p.requestTimeout(), p.electionJitter()));
    }
}
