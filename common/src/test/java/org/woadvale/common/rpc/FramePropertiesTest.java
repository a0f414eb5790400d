package org.woadvale.common.rpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;

/**
 * Arbitrary bytes either decode to a frame or are rejected as unreadable; they cause no other failure. The seeds are
 * fixed, so that CI runs are repeatable.
 */
class FramePropertiesTest {
    /** A record with a component of each type that is sent. */
    public record AllTypes(
            String word,
            long number,
            boolean flag,
            byte[] bytes,
            List<String> list,
            Map<String, Long> map,
            Optional<String> maybe,
            Instant at,
            Duration length) {}

    private static final Codec CODEC = new Codec(Map.of(100, List.of(AllTypes.class)));
    private static final String SEED = "18";

    private static boolean readable(byte[] bytes) {
        try {
            CODEC.read(bytes, Frame.class);
            return true;
        } catch (ServiceException failure) {
            assertEquals(ErrorKind.BAD_REQUEST, failure.kind());
            return false;
        }
    }

    @Provide
    Arbitrary<AllTypes> everything() {
        Arbitrary<String> word = Arbitraries.strings().ofMaxLength(20);
        Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(40);
        Arbitrary<List<String>> list = word.list().ofMaxSize(5);
        Arbitrary<Map<String, Long>> map =
                Arbitraries.maps(word, Arbitraries.longs()).ofMaxSize(5);
        return Combinators.combine(word, Arbitraries.longs(), bytes, list, map)
                .as((w, n, b, l, m) -> new AllTypes(
                        w,
                        n,
                        n % 2 == 0,
                        b,
                        new ArrayList<>(l),
                        m,
                        Optional.of(w).filter(x -> x.length() > 3),
                        Instant.ofEpochMilli(n >> 20),
                        Duration.ofMillis(n >> 20)));
    }

    @Property(tries = 300, seed = SEED)
    void encodedFrameIsDecodedUnchanged(@ForAll("everything") AllTypes sent) throws ServiceException {
        Frame frame = CODEC.read(CODEC.write(new Frame(7, Frame.Kind.REQUEST, sent)), Frame.class);
        AllTypes got = (AllTypes) frame.body();
        assertArrayEquals(sent.bytes(), got.bytes());
        assertEquals(
                List.of(sent.word(), sent.number(), sent.flag(), sent.list(), sent.map(), sent.maybe(), sent.at()),
                List.of(got.word(), got.number(), got.flag(), got.list(), got.map(), got.maybe(), got.at()));
        assertEquals(sent.length(), got.length());
    }

    @Property(tries = 2000, seed = SEED)
    void arbitraryBytesAreDecodedOrRejected(@ForAll @Size(max = 200) byte[] bytes) {
        readable(bytes);
    }

    @Property(tries = 500, seed = SEED)
    void damagedFrameIsDecodedOrRejected(
            @ForAll("everything") AllTypes sent,
            @ForAll @Size(min = 1, max = 4) List<@IntRange(max = 10_000) Integer> places,
            @ForAll byte damage) {
        byte[] bytes = CODEC.write(new Frame(7, Frame.Kind.REQUEST, sent));
        for (int place : places) {
            bytes[place % bytes.length] ^= (byte) (damage | 1);
        }
        readable(bytes);
    }

    @Property(tries = 500, seed = SEED)
    void truncatedFrameIsRejected(@ForAll("everything") AllTypes sent, @ForAll @IntRange(max = 10_000) int cut) {
        byte[] bytes = CODEC.write(new Frame(7, Frame.Kind.REQUEST, sent));
        assertEquals(false, readable(Arrays.copyOf(bytes, cut % bytes.length)));
    }
}
