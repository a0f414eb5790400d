package org.woadvale.common.discovery;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceView;

/**
 * Configurations travel deflated in view replies to nodes that say that they can inflate them. A version is deflated
 * once, however many nodes ask for it. Thread-safe. (docs/design.md, section 7.3)
 */
public final class ViewCompression {
    static final int WORTHWHILE_BYTES = 512;
    private static final int LARGEST_BYTES = 16 << 20;
    private static final int BUFFER_BYTES = 8 << 10;

    private record Deflated(long version, byte[] bytes) {}

    private volatile Deflated latest = new Deflated(-1, new byte[0]);

    /** The reply with its configurations deflated, where the asker reads that and it is smaller. */
    public ControlMessages.ServiceViewResponse pack(
            ControlMessages.ServiceViewRequest request, ControlMessages.ServiceViewResponse response) {
        if (!request.acceptsDeflated() || response.views().stream().noneMatch(ViewCompression::isWorthwhile)) {
            return response;
        }
        List<ServiceView> views = new ArrayList<>();
        Map<String, byte[]> deflated = new HashMap<>();
        for (ServiceView view : response.views()) {
            if (isWorthwhile(view)) {
                deflated.put(view.service(), deflated(view));
                views.add(view.withConfiguration(view.version(), new byte[0], view.configurationVersion()));
            } else {
                views.add(view);
            }
        }
        return new ControlMessages.ServiceViewResponse(views, response.ages(), response.coreEpoch(), deflated);
    }

    /** The reply as it was before it was packed; fails with BAD_REQUEST if the bytes cannot be inflated. */
    public static ControlMessages.ServiceViewResponse unpack(ControlMessages.ServiceViewResponse response)
            throws ServiceException {
        if (response.deflated().isEmpty()) {
            return response;
        }
        List<ServiceView> views = new ArrayList<>();
        for (ServiceView view : response.views()) {
            byte[] bytes = response.deflated().get(view.service());
            views.add(
                    bytes == null
                            ? view
                            : view.withConfiguration(view.version(), inflate(bytes), view.configurationVersion()));
        }
        return new ControlMessages.ServiceViewResponse(views, response.ages(), response.coreEpoch());
    }

    private static boolean isWorthwhile(ServiceView view) {
        return view.configuration().length >= WORTHWHILE_BYTES;
    }

    private byte[] deflated(ServiceView view) {
        Deflated known = latest;
        if (known.version() != view.version()) {
            known = new Deflated(view.version(), deflate(view.configuration()));
            latest = known;
        }
        return known.bytes();
    }

    private static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] bytes) throws ServiceException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 || out.size() > LARGEST_BYTES) {
                    throw unreadable();
                }
                out.write(buffer, 0, length);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw unreadable();
        } finally {
            inflater.end();
        }
    }

    private static ServiceException unreadable() {
        return new InvalidRequestException("A deflated configuration cannot be read.");
    }
}
