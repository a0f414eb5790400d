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

/** Any bytes are a frame or are refused as one; nothing else comes of them. The seeds are fixed, so that CI repeats. */
class FramePropertiesTest {
    /** A bit of everything that travels. */
    public record Everything(
            String word,
            long number,
            boolean flag,
            byte[] bytes,
            List<String> list,
            Map<String, Long> map,
            Optional<String> maybe,
            Instant at,
            Duration length) {}

    private static final Codec CODEC = new Codec(Map.of(100, List.of(Everything.class)));
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
    Arbitrary<Everything> everything() {
        Arbitrary<String> word = Arbitraries.strings().ofMaxLength(20);
        Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(40);
        Arbitrary<List<String>> list = word.list().ofMaxSize(5);
        Arbitrary<Map<String, Long>> map =
                Arbitraries.maps(word, Arbitraries.longs()).ofMaxSize(5);
        return Combinators.combine(word, Arbitraries.longs(), bytes, list, map)
                .as((w, n, b, l, m) -> new Everything(
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
    void whatIsWrittenIsRead(@ForAll("everything") Everything sent) throws ServiceException {
        Frame frame = CODEC.read(CODEC.write(new Frame(7, Frame.Kind.REQUEST, sent)), Frame.class);
        Everything got = (Everything) frame.body();
        assertArrayEquals(sent.bytes(), got.bytes());
        assertEquals(
                List.of(sent.word(), sent.number(), sent.flag(), sent.list(), sent.map(), sent.maybe(), sent.at()),
                List.of(got.word(), got.number(), got.flag(), got.list(), got.map(), got.maybe(), got.at()));
        assertEquals(sent.length(), got.length());
    }

    @Property(tries = 2000, seed = SEED)
    void anyBytesAreAFrameOrRefused(@ForAll @Size(max = 200) byte[] bytes) {
        readable(bytes);
    }

    @Property(tries = 500, seed = SEED)
    void damagedFrameIsAFrameOrRefused(
            @ForAll("everything") Everything sent,
            @ForAll @Size(min = 1, max = 4) List<@IntRange(max = 10_000) Integer> places,
            @ForAll byte damage) {
        byte[] bytes = CODEC.write(new Frame(7, Frame.Kind.REQUEST, sent));
        for (int place : places) {
            bytes[place % bytes.length] ^= (byte) (damage | 1);
        }
        readable(bytes);
    }

    @Property(tries = 500, seed = SEED)
    void frameThatIsCutShortIsRefused(@ForAll("everything") Everything sent, @ForAll @IntRange(max = 10_000) int cut) {
        byte[] bytes = CODEC.write(new Frame(7, Frame.Kind.REQUEST, sent));
        assertEquals(false, readable(Arrays.copyOf(bytes, cut % bytes.length)));
    }
}
