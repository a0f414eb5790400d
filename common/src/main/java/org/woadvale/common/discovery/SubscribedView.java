package org.woadvale.common.discovery;

import java.time.Duration;
import org.woadvale.common.membership.ServiceView;

/** The state of one subscription: the latest view of a service, and when and where to poll for it. */
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
