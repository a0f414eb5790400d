package org.woadvale.dataplane.ingress;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.http.Answer;
import org.woadvale.common.http.Request;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.AdmissionTokens;
import org.woadvale.common.ratelimit.LocalBucket;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.common.replication.Env;
import org.woadvale.common.runtime.Delays;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;
import org.woadvale.common.runtime.Stage;
import org.woadvale.dataplane.ConfigurationView;
import org.woadvale.dataplane.delivery.SubmitForwarder;
import org.woadvale.dataplane.queue.Commands;
import org.woadvale.dataplane.queue.RouteTerms;
import reactor.core.publisher.Mono;

/** A processor-in's way: checked, then a pass, then the store; three stages with bounded queues. design 9.6 */
public final class Intake {
    static final int MAX_BODY = 16 << 10;
    private static final Duration LIMIT = Duration.ofMillis(4000);
    private static final Duration PAUSE = Duration.ofMillis(50);
    /** Where another part may take it, no owner is waited for. */
    private static final Duration SHORT = Duration.ofMillis(100);

    private static final Duration HOPELESS = Duration.ofMillis(15);
    private static final int DEPTH = 1024;
    private static final int WIDTH = 256;

    private record Checked(Submission offer, String tenant, String hash, boolean free) {}

    private record Admitted(Checked c, LocalBucket.Pass pass, String part) {}

    private final Env env;
    private final RouteMatcher doors;
    private final LocalBuckets localBuckets;
    private final SubmitForwarder forwarder;
    private final Stage<Checked, Admitted> passing;
    private final Stage<Admitted, Commands.Accepted> forwarding;

    public Intake(Env env, ConfigurationView configurations, LocalBuckets localBuckets, SubmitForwarder forwarder) {
        this.env = env;
        this.doors = new RouteMatcher(configurations);
        this.localBuckets = localBuckets;
        this.forwarder = forwarder;
        this.passing = new Stage<>("passes", DEPTH, WIDTH * 4, this::pass);
        this.forwarding = new Stage<>("hand-over", DEPTH, WIDTH, this::transferLeadership);
    }

    /** The product's own way in: JSON, answered by the handle. */
    Mono<Answer> submit(Request q, String lane) {
        try {
            Submission o = offer(q, lane);
            return take(o).map(x -> accepted(o, x));
        } catch (ServiceException e) {
            return Mono.error(e);
        }
    }

    private Submission offer(Request q, String lane) throws ServiceException {
        doors.key(q, Configuration.Role.CALLER);
        doors.lane(lane);
        SubmitRequest in = doors.body(q, SubmitRequest.class);
        return new Submission(
                q.secret().orElse(""),
                lane,
                in.id(),
                in.orderingKey(),
                in.delayMs(),
                Map.of(),
                Configurations.write(in.body()),
                LIMIT);
    }

    /** Accepted, or a fault whose kind says whether it may have been taken. design 9.6 */
    public Mono<Commands.Accepted> take(Submission o) {
        try {
            return passing.submit(check(o))
                    .flatMap(a -> forwarding.submit(a).doOnError(e -> {
                        if (ServiceException.of(e).kind() == ErrorKind.QUEUE_FULL) {
                            putBack(a);
                        }
                    }));
        } catch (ServiceException e) {
            return Mono.error(e);
        }
    }

    private Checked check(Submission o) throws ServiceException {
        Optional<Configuration.Key> key = doors.callerKey(o.secret(), o.lane());
        Configuration.Lane l = doors.lane(o.lane());
        if (l.doors().isEmpty()
                && l.ordering() == Configuration.Ordering.KEY
                && o.orderKey().isEmpty()) {
            throw new ServiceException(ErrorKind.BAD_REQUEST, "The lane " + o.lane() + " needs an orderingKey.");
        }
        if (l.doors().isEmpty()
                && l.ordering() == Configuration.Ordering.NONE
                && !o.orderKey().isEmpty()) {
            throw new ServiceException(
                    ErrorKind.BAD_REQUEST, "The lane " + o.lane() + " has no ordering; leave out orderingKey.");
        }
        return new Checked(
                o,
                key.map(Configuration.Key::tenant).orElse(""),
                o.hash(),
                !l.doors().isEmpty());
    }

    private Mono<Admitted> pass(Checked c) {
        return pass(c, part(c));
    }

    private Mono<Admitted> pass(Checked c, String part) {
        return c.tenant().isEmpty()
                ? Mono.just(new Admitted(
                        c,
                        new LocalBucket.Pass(
                                AdmissionTokens.NO_GRANT, env.times().mono().plus(AdmissionTokens.LIFE)),
                        part))
                : localBuckets
                        .take(
                                ServiceNames.tenantBucket(c.tenant()),
                                c.offer().patience().dividedBy(16))
                        .map(p -> new Admitted(c, p, part));
    }

    /**
     * By the ordering key, or by the id, which every repeat has. Where a repeat is never handed in anew (lanes with
     * doors) any part does: one whose owner is near and in touch. design 9.13
     */
    private String part(Checked c) {
        Submission o = c.offer();
        return o.orderKey().isEmpty() && c.free()
                ? forwarder.anyPart(o.id())
                : ServiceNames.messagePart(o.lane(), o.orderKey().isEmpty() ? o.id() : o.orderKey());
    }

    private String bucket(Admitted a) {
        return ServiceNames.tenantBucket(a.c().tenant());
    }

    private void putBack(Admitted a) {
        localBuckets.putBack(bucket(a), a.pass());
    }

    /** Key, lane and pass are looked at once more, right before each processor-over: design 9.7. */
    private Mono<Commands.Accepted> transferLeadership(Admitted a) {
        return attempt(a, env.times().mono().plus(givenUp(a.c().offer())), false);
    }

    /** What is not decided by half of the caller's patience is answered then, while there is time to come back. */
    private static Duration givenUp(Submission o) {
        Duration half = o.patience().dividedBy(2);
        return o.patience().compareTo(LIMIT) >= 0 ? LIMIT : half;
    }

    private Configuration.Lane lookAgain(Admitted a) throws ServiceException {
        Configuration.Lane lane = doors.lane(a.c().offer().lane());
        if (!doors.callerKey(a.c().offer().secret(), a.c().offer().lane())
                .map(Configuration.Key::tenant)
                .orElse("")
                .equals(a.c().tenant())) {
            throw new ServiceException(ErrorKind.UNAUTHORISED, "The key is another tenant's by now.");
        }
        if (!localBuckets.alive(a.pass())) {
            throw new ServiceException(ErrorKind.THROTTLED, "The pass died while waiting.");
        }
        return lane;
    }

    private Commands.Accept accept(Checked c, Configuration.Lane lane) {
        Instant now = env.times().wall();
        Submission o = c.offer();
        return new Commands.Accept(
                c.tenant(),
                o.lane(),
                o.id(),
                o.orderKey(),
                o.body(),
                c.hash(),
                RouteTerms.of(lane),
                now.plusMillis(o.delayMs()),
                now,
                o.envelope());
    }

    /**
     * A pass covers an acceptance only while it lives: what is not decided by then is asked again, with the same
     * message id, under a new pass and by the configuration of that time. design 8.5
     */
    private Mono<Commands.Accepted> attempt(Admitted a, Duration until, boolean unknown) {
        Commands.Accept accept;
        try {
            accept = accept(a.c(), lookAgain(a));
        } catch (ServiceException e) {
            putBack(a);
            return Mono.error(settled(e, unknown));
        }
        String part = a.part();
        Duration life = a.pass().until().minus(env.times().mono());
        return forwarder
                .timely(part, u -> new Commands.AcceptAsk(part, accept, u), Commands.Accepted.class, waits(a, life))
                .doOnNext(x -> settle(a, x))
                .onErrorResume(e -> {
                    ServiceException f = ServiceException.of(e);
                    boolean nowUnknown = unknown || !f.kind().definite();
                    if (f.kind().definite()) {
                        putBack(a);
                    } else {
                        localBuckets.settle(bucket(a), a.pass());
                    }
                    Optional<String> other = nowUnknown ? Optional.empty() : elsewhere(a, f);
                    if (other.isPresent()) {
                        return pass(a.c(), other.get()).flatMap(next -> attempt(next, until, false));
                    }
                    boolean again = (nowUnknown || f.kind() == ErrorKind.UNAVAILABLE && !a.c().free())
                            && !localBuckets.alive(a.pass())
                            && env.times().mono().compareTo(until) < 0;
                    return again
                            ? Delays.pause(env.schedules(), PAUSE)
                                    .then(pass(a.c(), a.part()))
                                    .flatMap(next -> attempt(next, until, nowUnknown))
                                    .onErrorMap(x -> settled(x, nowUnknown))
                            : Mono.error(settled(f, nowUnknown));
                });
    }

    /** A part that may change processors in order is waited for shortly; one that is in trouble is not. design 9.13 */
    private Duration waits(Admitted a, Duration life) {
        return !a.c().free() ? life : forwarder.troubled(a.part()) ? HOPELESS : SHORT;
    }

    /** It was certainly not taken there, so another part may take it. */
    private Optional<String> elsewhere(Admitted a, ServiceException f) {
        return Optional.of(a)
                .filter(x -> x.c().free() && x.c().offer().orderKey().isEmpty() && f.kind() == ErrorKind.UNAVAILABLE)
                .map(x -> forwarder.anyPart(x.c().offer().id()))
                .filter(p -> !p.equals(a.part()));
    }

    /** A definite refusal now says nothing of an earlier unknown try. */
    private static Throwable settled(Throwable e, boolean unknown) {
        return unknown && ServiceException.of(e).kind().definite()
                ? new ServiceException(
                        ErrorKind.UNKNOWN_OUTCOME, "It is not known whether this was taken; ask with the same id.")
                : e;
    }

    /** A repeated processor-in was accepted before and has paid then. */
    private void settle(Admitted a, Commands.Accepted x) {
        if (x.repeated()) {
            putBack(a);
        } else {
            localBuckets.settle(bucket(a), a.pass());
        }
    }

    private static Answer accepted(Submission o, Commands.Accepted x) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("accepted", true);
        body.put("handle", x.handle());
        body.put("id", o.id());
        body.put("repeated", x.repeated());
        return Answer.json(202, body);
    }
}
