package org.woadvale.dataplane.delivery;

import java.util.Optional;
import org.woadvale.common.ratelimit.LocalBucket;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;

/** What a delivery spends: read units of the store, and a leaving pass where the service is paced. */
final class DeliveryPermit {
    private static final int READ_UNIT = 4096;
    private final LocalBuckets purses;
    private final String bucket;
    private final Optional<LocalBucket.Pass> pass;

    private DeliveryPermit(LocalBuckets purses, String bucket, Optional<LocalBucket.Pass> pass) {
        this.purses = purses;
        this.bucket = bucket;
        this.pass = pass;
    }

    static Optional<DeliveryPermit> draw(DispatchContext kit, MessagePartition berth, Message m, String service) {
        Optional<DeliveryPermit> t = draw(kit, service);
        if (t.isEmpty()) {
            return t;
        }
        DeliveryPermit ticket = t.get();
        if (!kit.berths().spend(berth, (m.body().length + READ_UNIT - 1) / READ_UNIT)) {
            ticket.putBack();
            return Optional.empty();
        }
        return Optional.of(ticket);
    }

    /** None where the pass is missing, or where it is not known whether one is needed. */
    static Optional<DeliveryPermit> draw(DispatchContext kit, String service) {
        return kit.layouts().leavingBucket(service).flatMap(bucket -> {
            Optional<LocalBucket.Pass> pass = bucket.flatMap(kit.purses()::tryTake);
            return bucket.isPresent() && pass.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new DeliveryPermit(kit.purses(), bucket.orElse(""), pass));
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
