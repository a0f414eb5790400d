package org.woadvale.common.discovery;

import java.time.Duration;
import org.woadvale.common.membership.ServiceView;

/** One service that a node follows: what is known of it, and how it is asked for. */
final class Followed {
    ServiceView view;
    boolean any;
    Duration confirmed = Duration.ZERO;
    Duration wantedUntil = Duration.ZERO;
    boolean always;
    Duration hurried = Duration.ZERO;
    Duration directUntil = Duration.ZERO;

    Followed(String service) {
        view = ServiceView.blank(service);
    }
}
