package org.woadvale.dataplane.delivery;

import java.util.Optional;
import org.woadvale.common.ratelimit.LocalBucket;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;

/** What a delivery spends: read units of the store, and a leaving pass where the service is paced. */
final class DeliveryPermit {
    private static final int READ_UNIT = 4096;
    private final LocalBuckets localBuckets;
    private final String bucket;
    private final Optional<LocalBucket.AdmissionToken> token;

    private DeliveryPermit(LocalBuckets localBuckets, String bucket, Optional<LocalBucket.AdmissionToken> pass) {
        this.localBuckets = localBuckets;
        this.bucket = bucket;
        this.token = pass;
    }

    static Optional<DeliveryPermit> draw(
            DispatchContext context, MessagePartition partition, Message m, String service) {
        Optional<DeliveryPermit> t = draw(context, service);
        if (t.isEmpty()) {
            return t;
        }
        DeliveryPermit permit = t.get();
        if (!context.partitions().spend(partition, (m.body().length + READ_UNIT - 1) / READ_UNIT)) {
            permit.release();
            return Optional.empty();
        }
        return Optional.of(permit);
    }

    /** None where the pass is missing, or where it is not known whether one is needed. */
    static Optional<DeliveryPermit> draw(DispatchContext context, String service) {
        return context.configurations().deliveryBucket(service).flatMap(bucket -> {
            Optional<LocalBucket.AdmissionToken> pass = bucket.flatMap(context.localBuckets()::tryTake);
            return bucket.isPresent() && pass.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new DeliveryPermit(context.localBuckets(), bucket.orElse(""), pass));
        });
    }

    boolean isValid() {
        return token.map(localBuckets::isValid).orElse(true);
    }

    /** Spent only while it lives, and told as spent only then: what is out never exceeds the bucket. design 8.2 */
    boolean spend() {
        boolean alive = isValid();
        if (alive) {
            token.ifPresent(p -> localBuckets.markSpent(bucket, p));
        }
        return alive;
    }

    void release() {
        token.ifPresent(p -> localBuckets.returnToken(bucket, p));
    }
}
