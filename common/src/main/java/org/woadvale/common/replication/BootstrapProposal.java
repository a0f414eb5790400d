package org.woadvale.common.replication;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.woadvale.common.replication.BootstrapMessages.PrepareResponse;

/** One proposal of initial members: tracks the promises, the members chosen from them, and the acceptances. */
final class BootstrapProposal {
    private final BootstrapBallot ballot;
    private final List<String> desiredMembers;
    private final Map<String, PrepareResponse> promises = new TreeMap<>();
    private final Set<String> acceptedBy = new TreeSet<>();
    private Map<String, String> members = Map.of();

    BootstrapProposal(BootstrapBallot ballot, List<String> desiredMembers) {
        this.ballot = ballot;
        this.desiredMembers = desiredMembers;
    }

    BootstrapBallot ballot() {
        return ballot;
    }

    boolean isFor(List<String> list) {
        return desiredMembers.equals(list);
    }

    /** The proposed members, node to identity; empty until all have promised. */
    Map<String, String> members() {
        return members;
    }

    /** Desired members that have not promised yet. */
    List<String> promisesMissing() {
        return desiredMembers.stream()
                .filter(node -> !promises.containsKey(node))
                .toList();
    }

    /** Members that have not accepted yet, excluding those that responded under another identity. */
    List<String> acceptancesMissing() {
        return members.keySet().stream()
                .filter(node -> !acceptedBy.contains(node) && !hasLostDisk(node))
                .toList();
    }

    private boolean hasLostDisk(String node) {
        return Optional.ofNullable(promises.get(node))
                .filter(promise -> !promise.identity().equals(members.get(node)))
                .isPresent();
    }

    /** Records a promise; the members are chosen once all desired members have promised. */
    void onPromise(String node, PrepareResponse promise) {
        promises.put(node, promise);
        if (members.isEmpty() && promisesMissing().isEmpty()) {
            members = chooseMembers();
        }
    }

    /** Chooses the members that an earlier proposal may have agreed on, or else the nodes that have promised. */
    private Map<String, String> chooseMembers() {
        return promises.values().stream()
                .filter(promise -> !promise.accepted().isEmpty())
                .max(Comparator.comparing(PrepareResponse::acceptedIn))
                .map(PrepareResponse::accepted)
                .filter(this::mayBeAgreed)
                .orElseGet(this::promisedIdentities);
    }

    /**
     * Members are agreed on once each of them has accepted, so an earlier proposal cannot have been agreed on if one of
     * its members reports that it has not accepted it.
     */
    private boolean mayBeAgreed(Map<String, String> earlier) {
        return promises.entrySet().stream()
                .filter(promise -> promise.getValue().identity().equals(earlier.get(promise.getKey())))
                .allMatch(promise -> promise.getValue().accepted().equals(earlier));
    }

    private Map<String, String> promisedIdentities() {
        Map<String, String> identities = new TreeMap<>();
        promises.forEach((node, promise) -> identities.put(node, promise.identity()));
        return identities;
    }

    /** Records an acceptance; returns true once the members are agreed on. */
    boolean onAccepted(String node) {
        acceptedBy.add(node);
        boolean noneMissing = promises.keySet().stream()
                .noneMatch(asked -> acceptancesMissing().contains(asked));
        return noneMissing && acceptedBy.size() * 2 > members.size();
    }
}
