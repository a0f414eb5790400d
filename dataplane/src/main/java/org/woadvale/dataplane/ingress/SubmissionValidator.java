package org.woadvale.dataplane.ingress;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnauthorizedException;
import org.woadvale.dataplane.queue.Message;

/** Checks submissions against the configuration: key, tenant, lane and ordering key. (docs/design.md, section 9.7) */
final class SubmissionValidator {
    private final RouteMatcher matcher;

    SubmissionValidator(RouteMatcher matcher) {
        this.matcher = matcher;
    }

    /** Fails if the key is invalid, the lane does not exist, or the ordering key does not match the lane's ordering. */
    CheckedSubmission check(Submission submission) throws ServiceException {
        Optional<Configuration.Key> key = matcher.callerKey(submission.secret(), submission.lane());
        Configuration.Lane lane = matcher.lane(submission.lane());
        checkOrderingKey(submission, lane);
        String tenant = key.map(Configuration.Key::tenant).orElse("");
        return new CheckedSubmission(
                submission,
                tenant,
                envelope(submission, tenant),
                submission.hash(),
                !lane.doors().isEmpty());
    }

    private Map<String, String> envelope(Submission submission, String tenant) throws ServiceException {
        String givenName = matcher.givenName(tenant);
        if (givenName.isEmpty()) {
            return submission.envelope();
        }
        Map<String, String> envelope = new HashMap<>(submission.envelope());
        envelope.put(Message.TENANT_NAME, givenName);
        return envelope;
    }

    private static void checkOrderingKey(Submission submission, Configuration.Lane lane) throws ServiceException {
        if (!lane.doors().isEmpty()) {
            return;
        }
        boolean hasKey = !submission.orderKey().isEmpty();
        if (lane.ordering() == Configuration.Ordering.KEY && !hasKey) {
            throw new InvalidRequestException("The lane " + submission.lane() + " needs an orderingKey.");
        }
        if (lane.ordering() == Configuration.Ordering.NONE && hasKey) {
            throw new InvalidRequestException(
                    "The lane " + submission.lane() + " has no ordering; leave out orderingKey.");
        }
    }

    /** Returns the lane as it is configured now; fails if the key no longer belongs to the same tenant. */
    Configuration.Lane recheck(CheckedSubmission checked) throws ServiceException {
        Submission submission = checked.submission();
        Configuration.Lane lane = matcher.lane(submission.lane());
        String tenant = matcher.callerKey(submission.secret(), submission.lane())
                .map(Configuration.Key::tenant)
                .orElse("");
        if (!tenant.equals(checked.tenant())) {
            throw new UnauthorizedException("The key is another tenant's by now.");
        }
        return lane;
    }
}
