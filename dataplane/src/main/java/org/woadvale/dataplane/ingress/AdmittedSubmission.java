package org.woadvale.dataplane.ingress;

import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.LocalBucket;

/** A submission that has its rate limit token and the partition it goes to. */
record AdmittedSubmission(CheckedSubmission checked, LocalBucket.AdmissionToken token, String partition) {

    /** The rate limit bucket that the token is of. */
    String bucket() {
        return ServiceNames.tenantBucket(checked.tenant());
    }
}
