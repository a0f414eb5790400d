package org.woadvale.common.discovery;

import java.time.Duration;
import org.woadvale.common.membership.ServiceView;

/** One service that a node follows: what is known of it, and how it is asked for. */
final class SubscribedView {
    ServiceView view;
    boolean received;
    Duration confirmed = Duration.ZERO;
    Duration interestUntil = Duration.ZERO;
    boolean permanent;
    Duration lastEarlyPoll = Duration.ZERO;
    Duration bypassHomeUntil = Duration.ZERO;

    SubscribedView(String service) {
        view = ServiceView.empty(service);
    }
}
