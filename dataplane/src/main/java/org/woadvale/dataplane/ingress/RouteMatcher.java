package org.woadvale.dataplane.ingress;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ForbiddenException;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnauthorizedException;
import org.woadvale.common.error.UnknownLaneException;
import org.woadvale.common.http.Request;
import org.woadvale.dataplane.ConfigurationView;

/** Checks the key and the input of every request, also on open streams (docs/design.md, section 7.2 and 9.6). */
final class RouteMatcher {
    private final ConfigurationView configurations;

    RouteMatcher(ConfigurationView configurations) {
        this.configurations = configurations;
    }

    Configuration.Key key(Request request, Configuration.Role role) throws ServiceException {
        ConfigurationView.IndexedConfiguration configuration = configurations.requireFresh();
        Optional<Configuration.Key> key = request.bearerToken().flatMap(configuration::key);
        if (key.isEmpty()) {
            throw new UnauthorizedException("The key is missing, wrong or withdrawn.");
        }
        if (key.get().role() != role) {
            throw new ForbiddenException("This key is not for " + role.name().toLowerCase(Locale.ROOT) + "s.");
        }
        return key.get();
    }

    /** Returns the caller's key; empty if none is given and the lane requires none. */
    Optional<Configuration.Key> callerKey(String secret, String lane) throws ServiceException {
        ConfigurationView.IndexedConfiguration configuration = configurations.requireFresh();
        Optional<Configuration.Key> key =
                configuration.key(secret).filter(candidate -> candidate.role() == Configuration.Role.CALLER);
        if (key.isEmpty() && !lane(lane).keyless()) {
            throw new UnauthorizedException("The key is missing, wrong or withdrawn.");
        }
        return key;
    }

    /** Returns the name by which processors know a tenant if it differs from the internal name; otherwise empty. */
    String givenName(String tenant) throws ServiceException {
        return Optional.ofNullable(
                        configurations.requireFresh().configuration().tenants().get(tenant))
                .map(Configuration.Tenant::givenName)
                .orElse("");
    }

    Configuration.Lane lane(String name) throws ServiceException {
        return Optional.ofNullable(
                        configurations.requireFresh().configuration().lanes().get(name))
                .orElseThrow(() -> new UnknownLaneException("There is no lane " + name + "."));
    }

    <T> T body(Request request, Class<T> type) throws ServiceException {
        T body = Configurations.read(request.body(), type, ErrorKind.BAD_REQUEST);
        List<String> faults = new ArrayList<>(Configurations.faults(body));
        if (!faults.isEmpty()) {
            throw new InvalidRequestException("The request has " + faults.size() + " faults.", faults);
        }
        return body;
    }
}
