package org.woadvale.common.replication;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** First formation, and the promotion by which a replica may vote again: design 5.5. */
final class Bootstrap {
    private static final Duration PERIOD = Duration.ofMillis(300);
    private final Replica r;
    private final Map<String, String> blanks = new TreeMap<>();
    private Duration nextTry = Duration.ZERO;

    Bootstrap(Replica r) {
        this.r = r;
    }

    /** Only the first of the wanted list founds, and only when every member reports blank. */
    void look() {
        boolean first = !r.wanted.isEmpty() && r.wanted.get(0).equals(r.env.self());
        if (!first || !r.groups.latest().isEmpty() || r.now().compareTo(nextTry) < 0) {
            return;
        }
        nextTry = r.now().plus(PERIOD);
        blanks.clear();
        blanks.put(r.env.self(), r.identity);
        for (String n : r.wanted) {
            if (!n.equals(r.env.self())) {
                r.shard.leave(() -> r.env.rpc()
                        .ask(
                                n,
                                new Messages.BlankAsk(r.part),
                                Messages.BlankReply.class,
                                r.env.timing().ask())
                        .subscribe(b -> r.shard.run(() -> reported(n, b)), e -> {}));
            }
        }
        if (r.wanted.size() == 1) {
            reported(r.env.self(), new Messages.BlankReply(true, r.identity));
        }
    }

    private void reported(String from, Messages.BlankReply b) {
        if (!b.blank() || r.phase != Phase.BLANK || !r.groups.latest().isEmpty()) {
            return;
        }
        blanks.put(from, b.identity());
        if (!blanks.keySet().containsAll(r.wanted)) {
            return;
        }
        Map<String, String> group = new TreeMap<>(blanks);
        found(group);
        group.forEach((n, id) -> {
            if (!n.equals(r.env.self())) {
                tell(n, new Messages.Found(r.part, id, group));
            }
        });
    }

    private void tell(String n, Messages.Found f) {
        r.shard.leave(() ->
                r.env.rpc().ask(n, f, Messages.Ok.class, r.env.timing().ask()).subscribe(ok -> {}, e -> {}));
    }

    private void found(Map<String, String> group) {
        r.groups.reset(group);
        // design 5.5: before the bootstrap nobody could hold a lease
        r.leaseHeardUntil = r.now();
        swear("the group is founded");
    }

    private void swear(String why) {
        r.voter = true;
        r.become(Phase.FOLLOWING, why);
        r.store.giveBase();
    }

    /** Voter again once a committed group entry names our new identity; it was committed without us. */
    void considerPromotion() {
        if (r.phase == Phase.BLANK && r.identity.equals(r.groups.committed().get(r.env.self()))) {
            Replica.LOG.info("keeper: {} at {} has caught up and counts again.", r.part, r.env.self());
            swear("seated by a committed entry");
        }
    }

    Mono<Object> asked(Object body) {
        boolean blank = r.phase == Phase.BLANK && r.groups.latest().isEmpty();
        if (body instanceof Messages.BlankAsk) {
            return Mono.just(new Messages.BlankReply(blank, r.identity));
        }
        if (body instanceof Messages.Found f) {
            if (blank && f.identity().equals(r.identity)) {
                Sinks.One<Object> out = Sinks.one();
                found(f.group());
                out.tryEmitValue(new Messages.Ok(true));
                return out.asMono();
            }
            return Mono.just(new Messages.Ok(false));
        }
        return Mono.error(new ServiceException(ErrorKind.BAD_REQUEST, "A replica does not answer this."));
    }
}
