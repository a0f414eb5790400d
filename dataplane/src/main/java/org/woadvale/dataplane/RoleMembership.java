package org.woadvale.dataplane;

import java.util.function.Supplier;
import org.woadvale.common.config.Settings;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.CoreClient;
import org.woadvale.common.membership.MemberLease;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.common.replication.Env;
import org.woadvale.common.rpc.RepeatableRequest;

/** Registers this node with the control plane as a member of each of its roles. design 6.3 */
final class RoleMembership {
    private final Env env;
    private final Settings settings;
    private final CoreClient core;
    private final Supplier<MemberLease> lease;

    RoleMembership(Env env, Settings settings, CoreClient core, Supplier<MemberLease> lease) {
        this.env = env;
        this.settings = settings;
        this.core = core;
        this.lease = lease;
    }

    /** Renews the lease of every role; a renewal that fails is left to the next one. */
    void renew() {
        MemberLease current = lease.get();
        settings.roles().forEach(role -> {
            String service = service(role);
            send(service, new ControlMessages.LeaseAsk(service, env.self(), current));
        });
    }

    /** Ends the membership of a role at once, without waiting for its lease to lapse. */
    void leave(String role) {
        if (settings.roles().contains(role)) {
            String service = service(role);
            send(service, new ControlMessages.LeaveAsk(service, env.self()));
        }
    }

    private static String service(String role) {
        return "role/" + role;
    }

    private void send(String service, RepeatableRequest request) {
        core.ask(ServiceNames.controlPart(service), request, ControlMessages.Done.class)
                .subscribe(done -> {}, error -> {});
    }
}
