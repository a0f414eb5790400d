package org.woadvale.common.rpc;

import java.util.Map;

/**
 * Upper bounds on the bytes that the {@link Codec} writes for strings and maps of strings, computed without encoding
 * them. Limits on stored bytes are checked against these figures, so that they hold for the bytes on disk.
 */
public final class EncodedSize {
    /** Type id and length of a string. */
    private static final int STRING_OVERHEAD = 6;
    /** Type id and size of a map. */
    private static final int MAP_OVERHEAD = 6;

    private static final int LARGEST_ONE_BYTE_CHARACTER = 0x7F;
    private static final int LARGEST_TWO_BYTE_CHARACTER = 0x7FF;
    private static final int LARGEST_CHARACTER_BYTES = 3;

    private EncodedSize() {}

    /** Maximum encoded size of a string. */
    public static int of(String string) {
        int bytes = STRING_OVERHEAD;
        for (int i = 0; i < string.length(); i++) {
            bytes += of(string.charAt(i));
        }
        return bytes;
    }

    private static int of(char character) {
        if (character <= LARGEST_ONE_BYTE_CHARACTER) {
            return 1;
        }
        return character <= LARGEST_TWO_BYTE_CHARACTER ? 2 : LARGEST_CHARACTER_BYTES;
    }

    /** Maximum encoded size of a map, keys and values. */
    public static int of(Map<String, String> map) {
        int bytes = MAP_OVERHEAD;
        for (Map.Entry<String, String> string : map.entrySet()) {
            bytes += of(string.getKey()) + of(string.getValue());
        }
        return bytes;
    }
}
