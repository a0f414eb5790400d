package org.woadvale.common.wal;

import java.util.ArrayList;
import java.util.List;
import org.woadvale.common.wal.PendingWrites.PendingAppend;

/**
 * Divides pending appends into those that may be written now and those that must wait: the ring keeps files in reserve
 * for the snapshots that free its oldest files, and only such snapshots may use the reserve.
 *
 * @param writable the appends that may be written, in their order
 * @param deferred the appends that must wait, in their order
 */
record BatchSelection(List<PendingAppend> writable, List<PendingAppend> deferred) {
    /**
     * Selects from the appends in their order. After the first deferred one, only snapshots of partitions that retain
     * the oldest segment are selected, so that the records of one partition keep their order.
     */
    static BatchSelection of(List<PendingAppend> appends, RingWriter writer, int reservedFiles) {
        List<PendingAppend> writable = new ArrayList<>();
        List<PendingAppend> deferred = new ArrayList<>();
        RingPosition position = writer.nextPosition();
        for (PendingAppend append : appends) {
            RingPosition after = position.after(append);
            boolean freesOldest = append.isSnapshot()
                    && writer.retainsOldest(append.records().get(0).partition());
            int reserved = freesOldest ? 0 : reservedFiles;
            boolean mayPass = deferred.isEmpty() || freesOldest;
            if (mayPass && writer.freeFiles() - after.files() >= reserved) {
                writable.add(append);
                position = after;
            } else {
                deferred.add(append);
            }
        }
        return new BatchSelection(writable, deferred);
    }
}
