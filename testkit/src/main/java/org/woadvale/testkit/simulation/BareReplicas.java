package org.woadvale.testkit.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceView;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.dataplane.delivery.DeliveryClient;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/** Stand-ins behind the platform's doors that leave out one mechanism each. design 12.3 */
final class BareReplicas {
    private static final String ID = "X-Attempt-Id";
    private static final String SEAL = "x-server-seal";

    private BareReplicas() {}

    private static Seams replies(Function<DeliveryClient.DeliveryResponse, DeliveryClient.DeliveryResponse> f) {
        return Seams.none().withPost((a, p) -> c -> p.send(c).map(f));
    }

    private static DeliveryClient.DeliveryResponse other(DeliveryClient.DeliveryResponse r, int status, String seal) {
        Map<String, String> h = new HashMap<>(r.headers());
        h.remove(SEAL);
        if (!seal.isEmpty()) {
            h.put(SEAL, seal);
        }
        return new DeliveryClient.DeliveryResponse(status, h, r.body());
    }

    /** LOST: the stores' disks say "synced" and have not. */
    static Seams lyingStores() {
        return Seams.none()
                .withDisk((a, d) -> a.startsWith("10.0.1.")
                        ? NaiveVariants.lyingDisk().disk().apply(a, d)
                        : d);
    }

    /** TWICE: a success is no proof, every fourth time. */
    static Seams successIsNoProof() {
        int[] n = {0};
        return replies(r -> r.status() == 200 && n[0]++ % 4 == 0 ? other(r, 502, "") : r);
    }

    /** MIXED: an error is taken for done. */
    static Seams errorIsSuccess() {
        return replies(
                r -> r.status() >= 500 && !r.headers().containsKey("x-not-executed") ? other(r, 200, "surely") : r);
    }

    /** ORDER: silence is taken for a refusal for good. */
    static Seams silenceIsRefusal() {
        return Seams.none()
                .withPost((a, p) -> c -> p.send(c)
                        .onErrorResume(e -> ServiceException.of(e).kind() == ErrorKind.UNKNOWN_OUTCOME
                                ? Mono.just(new DeliveryClient.DeliveryResponse(
                                        422, Map.of("x-attempt-id", c.headers().getOrDefault(ID, "")), new byte[0]))
                                : Mono.error(e)));
    }

    /** ROUTE: nobody is told who is expected. */
    static Seams nobodyIsExpected() {
        return Seams.none().withPost((a, p) -> c -> {
            Map<String, String> h = new LinkedHashMap<>(c.headers());
            h.remove("X-Expect-Instance");
            return p.send(new DeliveryClient.DeliveryRequest(
                    c.method(), c.url(), h, c.body(), c.timeout(), c.stillPermitted(), c.expectedEcho()));
        });
    }

    /** UNASKED: bytes are sent in the wrong order, as a careless client might. */
    static Seams bytesChange() {
        return Seams.none().withPost((a, p) -> c -> {
            byte[] b = c.body().clone();
            byte first = b[0];
            b[0] = b[b.length - 1];
            b[b.length - 1] = first;
            return p.send(new DeliveryClient.DeliveryRequest(
                    c.method(), c.url(), c.headers(), b, c.timeout(), c.stillPermitted(), c.expectedEcho()));
        });
    }

    /** CEILING: looked at once, sent whenever the stream is open. */
    static Seams lookFirstSendLater() {
        return Seams.none()
                .withPost((a, p) -> c -> Mono.defer(() -> {
                    boolean go = c.stillPermitted().getAsBoolean();
                    return p.send(new DeliveryClient.DeliveryRequest(
                            c.method(), c.url(), c.headers(), c.body(), c.timeout(), () -> go, c.expectedEcho()));
                }));
    }

    /** CONFIG, DRAIN: from a moment on the views that are known are taken for confirmed. */
    static Seams newsStands(BooleanSupplier frozen) {
        return Seams.none().withRpc((a, b) -> {
            Map<String, ServiceView> last = new HashMap<>();
            return new RpcClient() {
                @Override
                public String self() {
                    return b.self();
                }

                @Override
                public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                    if (!(body instanceof ControlMessages.ServiceViewRequest n)
                            || frozen.getAsBoolean()
                                    && !last.keySet()
                                            .containsAll(n.knownVersions().keySet())) {
                        return b.call(to, body, answer, limit);
                    }
                    return frozen.getAsBoolean()
                            ? Mono.just(answer.cast(NaiveVariants.anew(n, last)))
                            : b.call(
                                            to,
                                            new ControlMessages.ServiceViewRequest(n.knownVersions(), false),
                                            answer,
                                            limit)
                                    .doOnNext(t -> ((ControlMessages.ServiceViewResponse) t)
                                            .views()
                                            .forEach(v -> last.put(v.service(), v)));
                }
            };
        });
    }

    /** TWICE: whoever has a lease of a message, has its present one. */
    static Seams anyLeaseWillDo() {
        Map<String, Integer> present = new ConcurrentHashMap<>();
        return Seams.none().withRpc((a, b) -> new RpcClient() {
            @Override
            public String self() {
                return b.self();
            }

            @Override
            public <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit) {
                if (body instanceof MessageCommands.EndLeaseRequest e) {
                    MessageCommands.End x = e.end();
                    MessageCommands.End now = new MessageCommands.End(
                            x.handle(),
                            present.getOrDefault(x.handle(), x.attempt()),
                            x.outcome(),
                            x.proof(),
                            x.due(),
                            x.at());
                    return b.call(to, new MessageCommands.EndLeaseRequest(e.partition(), now), answer, limit);
                }
                return b.call(to, body, answer, limit).doOnNext(t -> {
                    if (t instanceof MessageCommands.LongPullResponse p) {
                        p.messages().forEach(m -> present.put(m.handle(), m.attempt()));
                    }
                });
            }
        });
    }
}
