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

    static Optional<DeliveryPermit> tryAcquire(
            DispatchContext context, MessagePartition partition, Message message, String service) {
        Optional<DeliveryPermit> optional = tryAcquire(context, service);
        if (optional.isEmpty()) {
            return optional;
        }
        DeliveryPermit permit = optional.get();
        if (!context.partitions().spend(partition, (message.body().length + READ_UNIT - 1) / READ_UNIT)) {
            permit.release();
            return Optional.empty();
        }
        return Optional.of(permit);
    }

    /** None where the token is missing, or where it is not known whether one is needed. */
    static Optional<DeliveryPermit> tryAcquire(DispatchContext context, String service) {
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

    /**
     * Spent only while it is valid, and reported as spent only then: what is outstanding never exceeds the bucket.
     * (docs/design.md, section 8.2)
     */
    boolean spend() {
        boolean alive = isValid();
        if (alive) {
            token.ifPresent(token -> localBuckets.markSpent(bucket, token));
        }
        return alive;
    }

    void release() {
        token.ifPresent(token -> localBuckets.returnToken(bucket, token));
    }
}
