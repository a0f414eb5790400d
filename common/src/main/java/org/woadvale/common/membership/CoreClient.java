package org.woadvale.common.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.woadvale.common.rpc.AtMostOnceRequest;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.ResendPolicy;
import org.woadvale.common.rpc.RpcClient;
import org.woadvale.common.rpc.RpcRequest;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;

/** A process's way to the owners of the control parts, who are found by asking. */
public final class CoreClient {
    private static final int TRIES = 5;
    private static final Duration EACH = Duration.ofMillis(700);
    private final RpcClient rpc;
    private final LongSupplier random;
    private volatile List<String> seeds;
    private final Consumer<List<String>> remember;
    private final Map<String, String> owners = new ConcurrentHashMap<>();
    private volatile List<String> lighthouses;

    public CoreClient(
            RpcClient rpc,
            LongSupplier random,
            List<String> seeds,
            List<String> known,
            Consumer<List<String>> remember) {
        this.rpc = rpc;
        this.random = random;
        this.seeds = List.copyOf(seeds);
        this.remember = remember;
        this.lighthouses = known.isEmpty() ? List.copyOf(seeds) : List.copyOf(known);
    }

    public List<String> lighthouses() {
        return lighthouses;
    }

    /** A control node knows the others by the groups of its own parts, and need not ask. design 6.6 */
    public void known(List<String> now) {
        if (!now.isEmpty() && !now.equals(lighthouses)) {
            lighthouses = List.copyOf(now);
            remember.accept(lighthouses);
        }
    }

    /** The boot values changed while we run. */
    public void reseed(List<String> other) {
        seeds = List.copyOf(other);
    }

    /** Any process answers who the lighthouses are; so the seeds may be down later. */
    public void learn() {
        List<String> from = new ArrayList<>(new TreeSet<>(lighthouses));
        from.addAll(seeds);
        String n = from.get((int) Math.floorMod(random.getAsLong(), (long) from.size()));
        if (n.equals(rpc.self())) {
            return;
        }
        rpc.ask(n, new ControlMessages.CoreAsk(true), ControlMessages.CoreReply.class, EACH)
                .subscribe(
                        r -> {
                            if (!r.lighthouses().isEmpty() && !r.lighthouses().equals(lighthouses)) {
                                lighthouses = List.copyOf(r.lighthouses());
                                remember.accept(lighthouses);
                            }
                        },
                        e -> {});
    }

    public String guess(String part) {
        List<String> all = lighthouses;
        return owners.getOrDefault(part, all.get((int) Math.floorMod(random.getAsLong(), (long) all.size())));
    }

    /** Sends the request up to five times, also while the outcome of an earlier sending is unknown. */
    public <T> Mono<T> ask(String part, RepeatableRequest request, Class<T> type) {
        return attempt(part, request, type, guess(part), TRIES, ResendPolicy.AFTER_UNKNOWN_OUTCOME);
    }

    /** Sends the request again only where it was certainly not executed; fails with UNKNOWN_OUTCOME otherwise. */
    public <T> Mono<T> askOnce(String part, AtMostOnceRequest request, Class<T> type) {
        return attempt(part, request, type, guess(part), TRIES, ResendPolicy.IF_NOT_EXECUTED);
    }

    private <T> Mono<T> attempt(String part, RpcRequest body, Class<T> type, String to, int left, ResendPolicy policy) {
        return rpc.ask(to, body, type, EACH).doOnNext(t -> owners.put(part, to)).onErrorResume(e -> {
            ServiceException f = ServiceException.of(e);
            owners.remove(part, to);
            if (!policy.allows(f.kind()) || left <= 1) {
                return Mono.error(f);
            }
            String next = f.kind() == ErrorKind.NOT_OWNER && !f.details().isEmpty()
                    ? f.details().get(0)
                    : other(to);
            return attempt(part, body, type, next, left - 1, policy);
        });
    }

    private String other(String not) {
        List<String> rest = new ArrayList<>(lighthouses);
        rest.remove(not);
        return rest.isEmpty() ? not : rest.get((int) Math.floorMod(random.getAsLong(), (long) rest.size()));
    }
}
