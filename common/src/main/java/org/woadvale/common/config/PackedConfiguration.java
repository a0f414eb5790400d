package org.woadvale.common.config;

import java.util.Arrays;
import org.woadvale.common.error.ServiceException;

/**
 * The stored and replicated form of a configuration: a large one is deflated and prefixed with a marker byte that no JSON
 * text starts with, a small one is stored as plain JSON. (docs/design.md, section 6.1)
 */
public final class PackedConfiguration {
    /** Shorter documents are stored uncompressed. */
    public static final int COMPRESSION_THRESHOLD_BYTES = 256 << 10;

    private static final byte DEFLATED_MARKER = 0;

    private PackedConfiguration() {}

    /** Returns the stored form of a JSON document. */
    public static byte[] pack(byte[] json) {
        if (json.length < COMPRESSION_THRESHOLD_BYTES) {
            return json;
        }
        byte[] deflated = Deflation.deflate(json);
        byte[] packed = new byte[deflated.length + 1];
        packed[0] = DEFLATED_MARKER;
        System.arraycopy(deflated, 0, packed, 1, deflated.length);
        return packed;
    }

    /** Whether the stored form is deflated. */
    public static boolean isDeflated(byte[] stored) {
        return stored.length > 0 && stored[0] == DEFLATED_MARKER;
    }

    /** Returns the deflated bytes of a deflated stored form. */
    public static byte[] deflated(byte[] stored) {
        return Arrays.copyOfRange(stored, 1, stored.length);
    }

    /** Returns the JSON document; fails with BAD_REQUEST if the stored form cannot be inflated. */
    public static byte[] unpack(byte[] stored) throws ServiceException {
        return isDeflated(stored) ? Deflation.inflate(deflated(stored)) : stored;
    }
}
