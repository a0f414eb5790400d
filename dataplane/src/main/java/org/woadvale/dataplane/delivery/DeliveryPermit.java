package org.woadvale.dataplane.delivery;

import java.util.Optional;
import org.woadvale.common.ratelimit.LocalBucket;
import org.woadvale.common.ratelimit.LocalBuckets;
import org.woadvale.dataplane.queue.Message;
import org.woadvale.dataplane.queue.MessagePartitions.MessagePartition;

/** What a delivery uses up: read units of the store, and an admission token if the service has a rate limit. */
final class DeliveryPermit {
    private static final int READ_UNIT_BYTES = 4096;
    private final LocalBuckets localBuckets;
    private final String bucket;
    private final Optional<LocalBucket.AdmissionToken> token;

    private DeliveryPermit(LocalBuckets localBuckets, String bucket, Optional<LocalBucket.AdmissionToken> token) {
        this.localBuckets = localBuckets;
        this.bucket = bucket;
        this.token = token;
    }

    static Optional<DeliveryPermit> tryAcquire(
            DispatchContext context, MessagePartition partition, Message message, String service) {
        Optional<DeliveryPermit> acquired = tryAcquire(context, service);
        if (acquired.isEmpty()) {
            return acquired;
        }
        DeliveryPermit permit = acquired.get();
        if (!context.partitions()
                .tryTakeUnits(partition, (message.body().length + READ_UNIT_BYTES - 1) / READ_UNIT_BYTES)) {
            permit.release();
            return Optional.empty();
        }
        return Optional.of(permit);
    }

    /** Empty if no token is available, or if it is not known whether one is needed. */
    static Optional<DeliveryPermit> tryAcquire(DispatchContext context, String service) {
        return context.configurations().deliveryBucket(service).flatMap(bucket -> {
            Optional<LocalBucket.AdmissionToken> token = bucket.flatMap(context.localBuckets()::tryTake);
            return bucket.isPresent() && token.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new DeliveryPermit(context.localBuckets(), bucket.orElse(""), token));
        });
    }

    boolean isValid() {
        return token.map(localBuckets::isValid).orElse(true);
    }

    /**
     * Uses the token only while it is valid, and reports it as used only then, so that outstanding tokens never exceed
     * the bucket. (docs/design.md, section 8.2)
     */
    boolean spend() {
        boolean valid = isValid();
        if (valid) {
            token.ifPresent(token -> localBuckets.markSpent(bucket, token));
        }
        return valid;
    }

    void release() {
        token.ifPresent(token -> localBuckets.returnToken(bucket, token));
    }
}
