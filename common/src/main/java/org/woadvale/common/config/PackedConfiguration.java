package org.woadvale.common.config;

import java.util.Arrays;
import org.woadvale.common.error.ServiceException;

/**
 * The form in which the core keeps and replicates a configuration: large ones deflated behind a mark that no JSON text
 * begins with, small ones as they are. (docs/design.md, section 6.1)
 */
public final class PackedConfiguration {
    /** Shorter texts are kept as they are. */
    public static final int COMPRESSION_THRESHOLD_BYTES = 256 << 10;

    private static final byte MARK = 0;

    private PackedConfiguration() {}

    /** The form to keep. */
    public static byte[] pack(byte[] json) {
        if (json.length < COMPRESSION_THRESHOLD_BYTES) {
            return json;
        }
        byte[] deflated = Deflation.deflate(json);
        byte[] packed = new byte[deflated.length + 1];
        packed[0] = MARK;
        System.arraycopy(deflated, 0, packed, 1, deflated.length);
        return packed;
    }

    /** Whether the kept form is a deflated one. */
    public static boolean isDeflated(byte[] kept) {
        return kept.length > 0 && kept[0] == MARK;
    }

    /** The deflated bytes of a kept form that is deflated. */
    public static byte[] deflated(byte[] kept) {
        return Arrays.copyOfRange(kept, 1, kept.length);
    }

    /** The JSON text; fails with BAD_REQUEST if the kept form cannot be inflated. */
    public static byte[] unpack(byte[] kept) throws ServiceException {
        return isDeflated(kept) ? Deflation.inflate(deflated(kept)) : kept;
    }
}
