package org.woadvale.common.discovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.woadvale.common.config.PackedConfiguration;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceView;

/** Unpacking restores a packed response; requesters that cannot inflate get plain text. */
class ViewCompressionTest {
    private static final String CONFIGURATION = "configuration";
    private static final Map<String, Duration> AGES = Map.of(CONFIGURATION, Duration.ZERO, "other", Duration.ZERO);
    private static final ControlMessages.ServiceViewRequest REQUEST = new ControlMessages.ServiceViewRequest(Map.of());
    private final ViewCompression compression = new ViewCompression();

    private static ControlMessages.ServiceViewResponse response(byte[] configuration) {
        ServiceView large = ServiceView.empty(CONFIGURATION).withConfiguration(7, configuration, 3);
        return new ControlMessages.ServiceViewResponse(List.of(large, ServiceView.empty("other")), AGES, 17);
    }

    private static byte[] text(int bytes) {
        return "{\"route\":17},".repeat(bytes / 13 + 1).substring(0, bytes).getBytes();
    }

    @Test
    void unpackRestoresPackedResponse() throws ServiceException {
        for (int bytes : new int[] {512, 9000, 262_144, 1 << 20}) {
            ControlMessages.ServiceViewResponse packed = new ViewCompression().pack(REQUEST, response(text(bytes)));
            assertTrue(packed.deflated().get(CONFIGURATION).length < bytes / 2, bytes + " bytes");
            assertEquals(0, packed.views().get(0).configuration().length);
            ControlMessages.ServiceViewResponse unpacked = ViewCompression.unpack(packed);
            assertArrayEquals(text(bytes), unpacked.views().get(0).configuration());
            assertEquals(3, unpacked.views().get(0).configurationVersion());
            assertEquals("other", unpacked.views().get(1).service());
            assertEquals(AGES, unpacked.ages());
            assertEquals(17, unpacked.coreEpoch());
        }
    }

    @Test
    void smallResponsesAndOlderRequestersAreNotPacked() throws ServiceException {
        ControlMessages.ServiceViewResponse small = response(text(100));
        assertSame(small, compression.pack(REQUEST, small));
        ControlMessages.ServiceViewResponse large = response(text(9000));
        assertSame(large, compression.pack(new ControlMessages.ServiceViewRequest(Map.of(), false), large));
        assertSame(large, ViewCompression.unpack(large));
    }

    /** The core stores large ones deflated: requesters get the same bytes, or the text if they cannot inflate. */
    @Test
    void storedDeflatedConfigurationIsSentAsStoredOrAsText() throws ServiceException {
        byte[] text = text(PackedConfiguration.COMPRESSION_THRESHOLD_BYTES);
        byte[] stored = PackedConfiguration.pack(text);
        assertTrue(stored.length < text.length / 2);
        ControlMessages.ServiceViewResponse packed = compression.pack(REQUEST, response(stored));
        assertArrayEquals(
                PackedConfiguration.deflated(stored), packed.deflated().get(CONFIGURATION));
        assertArrayEquals(text, ViewCompression.unpack(packed).views().get(0).configuration());
        ControlMessages.ServiceViewResponse plain =
                compression.pack(new ControlMessages.ServiceViewRequest(Map.of(), false), response(stored));
        assertArrayEquals(text, plain.views().get(0).configuration());
    }

    @Test
    void versionIsDeflatedOnce() throws ServiceException {
        byte[] first =
                compression.pack(REQUEST, response(text(9000))).deflated().get(CONFIGURATION);
        byte[] second =
                compression.pack(REQUEST, response(text(9000))).deflated().get(CONFIGURATION);
        assertSame(first, second);
    }

    @Test
    void invalidBytesAreRejected() throws ServiceException {
        ControlMessages.ServiceViewResponse packed = compression.pack(REQUEST, response(text(9000)));
        byte[] truncated = Arrays.copyOf(packed.deflated().get(CONFIGURATION), 20);
        for (byte[] invalidBytes : List.of(new byte[0], new byte[] {1, 2, 3}, truncated)) {
            ControlMessages.ServiceViewResponse invalid = new ControlMessages.ServiceViewResponse(
                    packed.views(), packed.ages(), 17, Map.of(CONFIGURATION, invalidBytes));
            assertThrows(ServiceException.class, () -> ViewCompression.unpack(invalid));
        }
    }
}
