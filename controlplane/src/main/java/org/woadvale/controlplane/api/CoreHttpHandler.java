package org.woadvale.controlplane.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ConflictException;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.error.UnavailableException;
import org.woadvale.common.http.HttpRouter;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.common.membership.ControlMessages;
import org.woadvale.common.membership.ServiceNames;
import org.woadvale.controlplane.node.ControlNode;
import reactor.core.publisher.Mono;

/** HTTP handler for the members of the core: {@code PUT v1/core} replaces one of them manually. */
final class CoreHttpHandler {
    private static final int OK = 200;
    private static final String ADDRESS = "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}";
    private static final String PARTITION = ServiceNames.controlPartition(ServiceNames.CORE);
    /** The field of the request body that lists the members. */
    private static final String FIELD = "lighthouses";

    private final ControlNode node;

    CoreHttpHandler(ControlNode node) {
        this.node = node;
    }

    void route(HttpRouter router) {
        router.on("PUT v1/core/**", (request, path) -> put(request));
    }

    private Mono<Response> put(Request request) throws ServiceException {
        List<String> members = members(request);
        List<String> current = node.committedControlNodes();
        if (node.replica(PARTITION).members().isEmpty()) {
            throw new UnavailableException("This control node has not joined yet; ask another.");
        }
        if (members.size() != current.size()) {
            throw new InvalidRequestException(
                    FIELD + " must be as many internal addresses as the core has members, which are "
                            + String.join(", ", current) + ".");
        }
        if (members.stream().filter(current::contains).count() < current.size() - 1) {
            throw new ConflictException("Only one control node may be exchanged at a time; the present ones are "
                    + String.join(", ", current) + ".");
        }
        boolean changed = !Set.copyOf(members).equals(Set.copyOf(current));
        if (changed && node.isMembershipChanging()) {
            throw changeInProgress();
        }
        return node.call(PARTITION, new ControlMessages.PutCore(members, current), ControlMessages.UpdateResult.class)
                .flatMap(result -> result.accepted()
                        ? Mono.just(Response.json(OK, Map.of(FIELD, members)))
                        : Mono.error(changeInProgress()));
    }

    private static ConflictException changeInProgress() {
        return new ConflictException("Another exchange is under way; look at GET /v1/status.");
    }

    private static List<String> members(Request request) throws ServiceException {
        List<String> members = new ArrayList<>();
        Configurations.read(request.body(), JsonNode.class, ErrorKind.BAD_REQUEST)
                .path(FIELD)
                .forEach(member -> members.add(member.asText()));
        boolean addresses = members.stream().allMatch(member -> member.matches(ADDRESS));
        if (members.isEmpty() || new HashSet<>(members).size() != members.size() || !addresses) {
            throw new InvalidRequestException(FIELD + " must be different internal addresses.");
        }
        return members;
    }
}
