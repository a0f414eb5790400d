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

/** What is packed is unpacked as it was; who cannot read it gets it whole. */
class ViewCompressionTest {
    private static final String CONFIGURATION = "configuration";
    private static final Map<String, Duration> AGES = Map.of(CONFIGURATION, Duration.ZERO, "other", Duration.ZERO);
    private static final ControlMessages.ServiceViewRequest ASK = new ControlMessages.ServiceViewRequest(Map.of());
    private final ViewCompression compression = new ViewCompression();

    private static ControlMessages.ServiceViewResponse reply(byte[] configuration) {
        ServiceView large = ServiceView.empty(CONFIGURATION).withConfiguration(7, configuration, 3);
        return new ControlMessages.ServiceViewResponse(List.of(large, ServiceView.empty("other")), AGES, 17);
    }

    private static byte[] text(int bytes) {
        return "{\"route\":17},".repeat(bytes / 13 + 1).substring(0, bytes).getBytes();
    }

    @Test
    void packedReplyIsUnpackedAsItWas() throws ServiceException {
        for (int bytes : new int[] {512, 9000, 262_144, 1 << 20}) {
            ControlMessages.ServiceViewResponse packed = new ViewCompression().pack(ASK, reply(text(bytes)));
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
    void smallOnesAndOlderAskersGetTheReplyAsItIs() throws ServiceException {
        ControlMessages.ServiceViewResponse small = reply(text(100));
        assertSame(small, compression.pack(ASK, small));
        ControlMessages.ServiceViewResponse large = reply(text(9000));
        assertSame(large, compression.pack(new ControlMessages.ServiceViewRequest(Map.of(), false), large));
        assertSame(large, ViewCompression.unpack(large));
    }

    /** Large ones are kept deflated by the core: askers get the same bytes, or the text if they cannot inflate. */
    @Test
    void keptDeflatedOneIsSentAsItIsKeptOrAsText() throws ServiceException {
        byte[] text = text(PackedConfiguration.COMPRESSION_THRESHOLD_BYTES);
        byte[] kept = PackedConfiguration.pack(text);
        assertTrue(kept.length < text.length / 2);
        ControlMessages.ServiceViewResponse packed = compression.pack(ASK, reply(kept));
        assertArrayEquals(PackedConfiguration.deflated(kept), packed.deflated().get(CONFIGURATION));
        assertArrayEquals(text, ViewCompression.unpack(packed).views().get(0).configuration());
        ControlMessages.ServiceViewResponse plain =
                compression.pack(new ControlMessages.ServiceViewRequest(Map.of(), false), reply(kept));
        assertArrayEquals(text, plain.views().get(0).configuration());
    }

    @Test
    void versionIsDeflatedOnce() throws ServiceException {
        byte[] first = compression.pack(ASK, reply(text(9000))).deflated().get(CONFIGURATION);
        byte[] again = compression.pack(ASK, reply(text(9000))).deflated().get(CONFIGURATION);
        assertSame(first, again);
    }

    @Test
    void brokenBytesAreRefused() throws ServiceException {
        ControlMessages.ServiceViewResponse packed = compression.pack(ASK, reply(text(9000)));
        byte[] half = Arrays.copyOf(packed.deflated().get(CONFIGURATION), 20);
        for (byte[] broken : List.of(new byte[0], new byte[] {1, 2, 3}, half)) {
            ControlMessages.ServiceViewResponse bad = new ControlMessages.ServiceViewResponse(
                    packed.views(), packed.ages(), 17, Map.of(CONFIGURATION, broken));
            assertThrows(ServiceException.class, () -> ViewCompression.unpack(bad));
        }
    }
}
