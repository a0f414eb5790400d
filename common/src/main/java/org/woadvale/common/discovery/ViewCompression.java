package org.woadvale.common.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.woadvale.common.config.Deflation;
import org.woadvale.common.config.PackedConfiguration;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceView;
import reactor.core.publisher.Mono;

/**
 * Deflates the configurations in view responses to nodes that announce that they can inflate them. Each version is
 * deflated once and cached. Thread-safe. (docs/design.md, section 7.3)
 */
public final class ViewCompression {
    static final int COMPRESSION_THRESHOLD_BYTES = 512;

    private record Deflated(long version, byte[] bytes) {}

    private volatile Deflated latest = new Deflated(-1, new byte[0]);

    /** Returns the result of {@link #pack}, or its failure as an error. */
    public Mono<ControlMessages.ServiceViewResponse> packOrError(
            ControlMessages.ServiceViewRequest request, ControlMessages.ServiceViewResponse response) {
        try {
            return Mono.just(pack(request, response));
        } catch (ServiceException e) {
            return Mono.error(e);
        }
    }

    /**
     * Returns the response with large configurations deflated, or with all of them as plain text if the requester cannot
     * inflate them. Fails with BAD_REQUEST if the stored form cannot be inflated.
     */
    ControlMessages.ServiceViewResponse pack(
            ControlMessages.ServiceViewRequest request, ControlMessages.ServiceViewResponse response)
            throws ServiceException {
        if (!request.acceptsDeflated()) {
            return asText(response);
        }
        if (response.views().stream().noneMatch(ViewCompression::isLarge)) {
            return response;
        }
        List<ServiceView> views = new ArrayList<>();
        Map<String, byte[]> deflated = new HashMap<>();
        for (ServiceView view : response.views()) {
            if (isLarge(view)) {
                deflated.put(view.service(), deflated(view));
                views.add(view.withConfiguration(view.version(), new byte[0], view.configurationVersion()));
            } else {
                views.add(view);
            }
        }
        return new ControlMessages.ServiceViewResponse(views, response.ages(), response.coreEpoch(), deflated);
    }

    private static ControlMessages.ServiceViewResponse asText(ControlMessages.ServiceViewResponse response)
            throws ServiceException {
        if (response.views().stream().noneMatch(view -> PackedConfiguration.isDeflated(view.configuration()))) {
            return response;
        }
        List<ServiceView> views = new ArrayList<>();
        for (ServiceView view : response.views()) {
            byte[] text = PackedConfiguration.unpack(view.configuration());
            views.add(view.withConfiguration(view.version(), text, view.configurationVersion()));
        }
        return new ControlMessages.ServiceViewResponse(views, response.ages(), response.coreEpoch());
    }

    /** Reverses {@link #pack}; fails with BAD_REQUEST if the bytes cannot be inflated. */
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
                            : view.withConfiguration(
                                    view.version(), Deflation.inflate(bytes), view.configurationVersion()));
        }
        return new ControlMessages.ServiceViewResponse(views, response.ages(), response.coreEpoch());
    }

    private static boolean isLarge(ServiceView view) {
        return view.configuration().length >= COMPRESSION_THRESHOLD_BYTES;
    }

    private byte[] deflated(ServiceView view) {
        if (PackedConfiguration.isDeflated(view.configuration())) {
            return PackedConfiguration.deflated(view.configuration());
        }
        Deflated cached = latest;
        if (cached.version() != view.version()) {
            cached = new Deflated(view.version(), Deflation.deflate(view.configuration()));
            latest = cached;
        }
        return cached.bytes();
    }
}
