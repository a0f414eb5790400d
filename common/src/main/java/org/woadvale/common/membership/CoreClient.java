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

/** Client for the leaders of the control partitions, which it finds by asking control nodes. */
public final class CoreClient {
    private static final int MAX_ATTEMPTS = 5;
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(700);
    private final RpcClient rpc;
    private final LongSupplier random;
    private volatile List<String> seeds;
    private final Consumer<CoreMembers> persist;
    private final Map<String, String> leaderHints = new ConcurrentHashMap<>();
    private final AtomicReference<CoreMembers> members;

    /** Creates a client with the seeds and the members that were stored last. */
    public CoreClient(
            RpcClient rpc, LongSupplier random, List<String> seeds, CoreMembers stored, Consumer<CoreMembers> persist) {
        this.rpc = rpc;
        this.random = random;
        this.seeds = List.copyOf(seeds);
        this.persist = persist;
        this.members = new AtomicReference<>(stored.members().isEmpty() ? new CoreMembers(0, seeds) : stored);
    }

    /** The control nodes in the newest known list. */
    public List<String> controlNodes() {
        return members.get().members();
    }

    /** The newest known list, with its epoch. */
    public CoreMembers members() {
        return members.get();
    }

    /** The response of this process to a {@link ControlMessages.CoreMembersRequest}. */
    public ControlMessages.CoreMembersResponse membersResponse() {
        CoreMembers known = members.get();
        return new ControlMessages.CoreMembersResponse(known.members(), known.epoch());
    }

    /**
     * Adopts a list with a higher epoch than the known one; an older list, or one without an epoch, changes nothing.
     * (docs/design.md, section 6.10)
     */
    public void adopt(CoreMembers received) {
        CoreMembers before = members.getAndUpdate(known -> known.newerOf(received));
        if (before.newerOf(received) != before) {
            persist.accept(members.get());
        }
    }

    /** Replaces the seeds after a change of the settings. */
    public void updateSeeds(List<String> newSeeds) {
        seeds = List.copyOf(newSeeds);
    }

    /**
     * Requests the members from a random control node or seed. Every process can answer, so the seeds need not stay
     * available.
     */
    public void refreshMembers() {
        List<String> candidates = new ArrayList<>(new TreeSet<>(controlNodes()));
        candidates.addAll(seeds);
        String node = candidates.get((int) Math.floorMod(random.getAsLong(), (long) candidates.size()));
        if (!node.equals(rpc.self())) {
            refreshMembersFrom(node);
        }
    }

    /** Handles the epoch in a response of a process: requests its list if that is newer than the known one. */
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

    /**
     * The node to which a request to a partition is sent first: the leader that answered last, or a random control
     * node.
     */
    public String likelyLeader(String partition) {
        List<String> nodes = controlNodes();
        return leaderHints.getOrDefault(
                partition, nodes.get((int) Math.floorMod(random.getAsLong(), (long) nodes.size())));
    }

    /** Sends the request up to five times, also after an attempt with an unknown outcome. */
    public <T> Mono<T> ask(String partition, RepeatableRequest request, Class<T> type) {
        return attempt(partition, request, type, likelyLeader(partition), MAX_ATTEMPTS);
    }

    private <T> Mono<T> attempt(
            String partition, RepeatableRequest request, Class<T> type, String to, int attemptsLeft) {
        return rpc.call(to, request, type, ATTEMPT_TIMEOUT)
                .doOnNext(t -> leaderHints.put(partition, to))
                .onErrorResume(e -> {
                    ServiceException failure = ServiceException.of(e);
                    leaderHints.remove(partition, to);
                    if (!ResendPolicy.AFTER_UNKNOWN_OUTCOME.allows(failure.kind()) || attemptsLeft <= 1) {
                        return Mono.error(failure);
                    }
                    String next = failure instanceof NotLeaderException notLeader
                            ? notLeader.leader().orElseGet(() -> nextNode(to))
                            : nextNode(to);
                    return attempt(partition, request, type, next, attemptsLeft - 1);
                });
    }

    private String nextNode(String excluded) {
        List<String> others = new ArrayList<>(controlNodes());
        others.remove(excluded);
        return others.isEmpty() ? excluded : others.get((int) Math.floorMod(random.getAsLong(), (long) others.size()));
    }
}
