package org.woadvale.testkit.simulation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.zip.CRC32C;

/**
 * A running checksum of what a simulated fleet does: each frame, disk write and HTTP answer with its time and place.
 * Two builds with equal digests for equal seeds behaved the same. Contents and sizes are not included, because the
 * order of immutable maps and request ids differ between Java processes.
 */
public final class TraceDigest {
    private final CRC32C checksum = new CRC32C();
    private final ByteBuffer time = ByteBuffer.allocate(Long.BYTES);
    private long events;

    void add(Duration at, String place) {
        checksum.update(place.getBytes(StandardCharsets.UTF_8));
        time.clear();
        time.putLong(at.toNanos());
        checksum.update(time.array());
        events++;
    }

    @Override
    public String toString() {
        return String.format("%08x after %d events", checksum.getValue(), events);
    }
}
