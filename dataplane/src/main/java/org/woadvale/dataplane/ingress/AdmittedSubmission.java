package org.woadvale.dataplane.ingress;

import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.ratelimit.LocalBucket;

/** A submission with its rate limit token and its target partition. */
record AdmittedSubmission(CheckedSubmission checked, LocalBucket.AdmissionToken token, String partition) {

    /** Returns the rate limit bucket that granted the token. */
    String bucket() {
        return ServiceNames.tenantBucket(checked.tenant());
    }
}
