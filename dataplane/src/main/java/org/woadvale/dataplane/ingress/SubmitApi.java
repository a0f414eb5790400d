package org.woadvale.dataplane.ingress;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.woadvale.common.config.Configuration;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.http.Request;
import org.woadvale.common.http.Response;
import org.woadvale.dataplane.queue.MessageCommands;
import reactor.core.publisher.Mono;

/**
 * The HTTP request that submits a message as JSON and is answered with the message's handle. (docs/design.md, section
 * 9.6)
 */
final class SubmitApi {
    /** Maximum size of a request body, in bytes. */
    static final int MAX_BODY = 16 << 10;

    private static final Duration CALLER_TIMEOUT = Intake.TIME_LIMIT;
    private static final int ACCEPTED = 202;

    private final RouteMatcher matcher;
    private final Intake intake;

    SubmitApi(RouteMatcher matcher, Intake intake) {
        this.matcher = matcher;
        this.intake = intake;
    }

    /** Fails as {@link Intake#submit} does, or if the request itself is invalid. */
    Mono<Response> submit(Request request, String lane) throws ServiceException {
        Submission submission = submission(request, lane);
        return intake.submit(submission).map(accepted -> answer(submission, accepted));
    }

    private Submission submission(Request request, String lane) throws ServiceException {
        matcher.key(request, Configuration.Role.CALLER);
        matcher.lane(lane);
        SubmitRequest body = matcher.body(request, SubmitRequest.class);
        return new Submission(
                request.bearerToken().orElse(""),
                lane,
                body.id(),
                body.orderingKey(),
                body.delayMs(),
                Map.of(),
                Configurations.write(body.body()),
                CALLER_TIMEOUT);
    }

    private static Response answer(Submission submission, MessageCommands.Accepted accepted) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("accepted", true);
        body.put("handle", accepted.handle());
        body.put("id", submission.id());
        body.put("repeated", accepted.repeated());
        return Response.json(ACCEPTED, body);
    }
}
