package org.woadvale.common.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.woadvale.common.error.NotLeaderException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.rpc.RepeatableRequest;
import org.woadvale.common.rpc.ResendPolicy;
import org.woadvale.common.rpc.RpcClient;
import reactor.core.publisher.Mono;

/** A process's way to the leaders of the control partitions, who are found by asking. */
public final class CoreClient {
    private static final int ATTEMPTS = 5;
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(700);
    private final RpcClient rpc;
    private final LongSupplier random;
    private volatile List<String> seeds;
    private final Consumer<CoreMembers> persist;
    private final Map<String, String> leaderHints = new ConcurrentHashMap<>();
    private final AtomicReference<CoreMembers> members;

    /** A client that knows the seeds, and the members that were stored last. */
    public CoreClient(
            RpcClient rpc, LongSupplier random, List<String> seeds, CoreMembers known, Consumer<CoreMembers> remember) {
        this.rpc = rpc;
        this.random = random;
        this.seeds = List.copyOf(seeds);
        this.persist = remember;
        this.members = new AtomicReference<>(known.members().isEmpty() ? new CoreMembers(0, seeds) : known);
    }

    /** The control nodes to ask, the newest list that is known. */
    public List<String> controlNodes() {
        return members.get().members();
    }

    /** The newest list that is known here, with its epoch. */
    public CoreMembers members() {
        return members.get();
    }

    /** What this process answers to whoever asks for the members of the core. */
    public ControlMessages.CoreMembersResponse membersResponse() {
        CoreMembers known = members.get();
        return new ControlMessages.CoreMembersResponse(known.members(), known.epoch());
    }

    /**
     * Takes a list that is newer than the known one; an older one, or one by hearsay, changes nothing. (docs/design.md,
     * section 6.10)
     */
    public void adopt(CoreMembers heard) {
        CoreMembers before = members.getAndUpdate(now -> now.newerOf(heard));
        if (before.newerOf(heard) != before) {
            persist.accept(members.get());
        }
    }

    /** The boot values changed while we run. */
    public void updateSeeds(List<String> other) {
        seeds = List.copyOf(other);
    }

    /** Any process answers who the control nodes are; so the seeds may be down later. */
    public void refreshMembers() {
        List<String> from = new ArrayList<>(new TreeSet<>(controlNodes()));
        from.addAll(seeds);
        String node = from.get((int) Math.floorMod(random.getAsLong(), (long) from.size()));
        if (!node.equals(rpc.self())) {
            refreshMembersFrom(node);
        }
    }

    /** An answer of that process showed that it knows a list of that epoch: asked for it if it is newer than ours. */
    public void onEpochSeen(long epoch, String process) {
        if (epoch > members.get().epoch()) {
            refreshMembersFrom(process);
        }
    }

    private void refreshMembersFrom(String process) {
        rpc.call(
                        process,
                        new ControlMessages.CoreMembersRequest(true),
                        ControlMessages.CoreMembersResponse.class,
                        ATTEMPT_TIMEOUT)
                .subscribe(response -> adopt(new CoreMembers(response.epoch(), response.members())), e -> {});
    }

    /** Where a request to a partition goes first: the leader that answered last, or any control node. */
    public String likelyLeader(String partition) {
        List<String> all = controlNodes();
        return leaderHints.getOrDefault(partition, all.get((int) Math.floorMod(random.getAsLong(), (long) all.size())));
    }

    /** Sends the request up to five times, also while the outcome of an earlier sending is unknown. */
    public <T> Mono<T> ask(String partition, RepeatableRequest request, Class<T> type) {
        return attempt(partition, request, type, likelyLeader(partition), ATTEMPTS);
    }

    private <T> Mono<T> attempt(String partition, RepeatableRequest body, Class<T> type, String to, int left) {
        return rpc.call(to, body, type, ATTEMPT_TIMEOUT)
                .doOnNext(t -> leaderHints.put(partition, to))
                .onErrorResume(e -> {
                    ServiceException failure = ServiceException.of(e);
                    leaderHints.remove(partition, to);
                    if (!ResendPolicy.AFTER_UNKNOWN_OUTCOME.allows(failure.kind()) || left <= 1) {
                        return Mono.error(failure);
                    }
                    String next = failure instanceof NotLeaderException notLeader
                            ? notLeader.leader().orElseGet(() -> nextNode(to))
                            : nextNode(to);
                    return attempt(partition, body, type, next, left - 1);
                });
    }

    private String nextNode(String not) {
        List<String> rest = new ArrayList<>(controlNodes());
        rest.remove(not);
        return rest.isEmpty() ? not : rest.get((int) Math.floorMod(random.getAsLong(), (long) rest.size()));
    }
}
