package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.wal.PendingWrites.PendingAppend;

/**
 * Of the records that wait, those that may be written now: the ring keeps files free for the snapshots that free its
 * oldest ones, and nothing but such snapshots may take those.
 *
 * @param writable what fits, in its order
 * @param deferred what has to wait, in its order
 */
record BatchSelection(List<PendingAppend> writable, List<PendingAppend> deferred) {
    /**
     * Chooses from the groups, in order. After the first that has to wait only snapshots of partitions that hold the
     * oldest segment are taken, so that records of one partition keep their order.
     */
    static BatchSelection of(List<PendingAppend> groups, RingWriter writer, int reservedFiles) {
        List<PendingAppend> writable = new ArrayList<>();
        List<PendingAppend> deferred = new ArrayList<>();
        RingPosition position = writer.nextPosition();
        for (PendingAppend group : groups) {
            RingPosition after = position.after(group);
            boolean freesOldest = group.isSnapshot()
                    && writer.holdsOldest(group.entries().get(0).partition());
            int reserved = freesOldest ? 0 : reservedFiles;
            boolean mayPass = deferred.isEmpty() || freesOldest;
            if (mayPass && writer.freeFiles() - after.files() >= reserved) {
                writable.add(group);
                position = after;
            } else {
                deferred.add(group);
            }
        }
        return new BatchSelection(writable, deferred);
    }
}
