package org.woadvale.common.rpc;

import java.util.Map;

/**
 * How many bytes the {@link Codec} writes at most for strings and maps of strings, counted without writing them. Bounds
 * on stored bytes are kept by these figures, so that they hold for what is on disk.
 */
public final class EncodedSize {
    /** Type number and length of a string. */
    private static final int STRING_OVERHEAD = 6;
    /** Type number and size of a map. */
    private static final int MAP_OVERHEAD = 6;

    private static final int LARGEST_ONE_BYTE_CHARACTER = 0x7F;
    private static final int LARGEST_TWO_BYTE_CHARACTER = 0x7FF;
    private static final int LARGEST_CHARACTER_BYTES = 3;

    private EncodedSize() {}

    /** The most bytes of a string. */
    public static int of(String text) {
        int bytes = STRING_OVERHEAD;
        for (int i = 0; i < text.length(); i++) {
            bytes += of(text.charAt(i));
        }
        return bytes;
    }

    private static int of(char character) {
        if (character <= LARGEST_ONE_BYTE_CHARACTER) {
            return 1;
        }
        return character <= LARGEST_TWO_BYTE_CHARACTER ? 2 : LARGEST_CHARACTER_BYTES;
    }

    /** The most bytes of a map, keys and values. */
    public static int of(Map<String, String> texts) {
        int bytes = MAP_OVERHEAD;
        for (Map.Entry<String, String> text : texts.entrySet()) {
            bytes += of(text.getKey()) + of(text.getValue());
        }
        return bytes;
    }
}
