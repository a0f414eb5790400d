package org.woadvale.pilot.launch;

import java.util.Optional;

import org.woadvale.foundation.tide.Purse;
import org.woadvale.foundation.tide.Purses;
import org.woadvale.pilot.berth.Berths.Berth;
import org.woadvale.pilot.berth.Message;

/** What a delivery spends: read units of the store, and a leaving pass where the service is paced. */
final class Ticket {
    private static final int READ_UNIT = 4096;
    private final Purses purses;
    private final String bucket;
    private final Optional<Purse.Pass> pass;

    private Ticket(Purses purses, String bucket, Optional<Purse.Pass> pass) {
        this.purses = purses;
        this.bucket = bucket;
        this.pass = pass;
    }

    static Optional<Ticket> draw(Kit kit, Berth berth, Message m, String service) {
        Optional<Ticket> t = draw(kit, service);
        if (t.isEmpty()) {
            return t;
        }
        Ticket ticket = t.get();
        if (!kit.berths().spend(berth, (m.body().length + READ_UNIT - 1) / READ_UNIT)) {
            ticket.putBack();
            return Optional.empty();
        }
        return Optional.of(ticket);
    }

    /** None where the pass is missing, or where it is not known whether one is needed. */
    static Optional<Ticket> draw(Kit kit, String service) {
        return kit.layouts().leavingBucket(service).flatMap(bucket -> {
            Optional<Purse.Pass> pass = bucket.flatMap(kit.purses()::tryTake);
            return bucket.isPresent() && pass.isEmpty() ? Optional.empty()
                : Optional.of(new Ticket(kit.purses(), bucket.orElse(""), pass));
        });
    }

    boolean alive() {
        return pass.map(purses::alive).orElse(true);
    }

    /** Spent only while it lives, and told as spent only then: what is out never exceeds the bucket. design 8.2 */
    boolean spend() {
        boolean alive = alive();
        if (alive) {
            pass.ifPresent(p -> purses.settle(bucket, p));
        }
        return alive;
    }

    void putBack() {
        pass.ifPresent(p -> purses.putBack(bucket, p));
    }
}
