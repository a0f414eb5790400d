package org.woadvale.common.membership;

import java.util.List;
import org.woadvale.common.rpc.FirstFormatName;
import org.woadvale.common.rpc.Since;

/** A member's place in a service: a role is a service too. */
public record MemberLease(
        @FirstFormatName("hall") String zone,
        String http,
        String incarnation,
        @Since(2) List<String> notVoting) {}
