package org.woadvale.dataplane.delivery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.error.ErrorKind;
import org.woadvale.common.error.ServiceException;

/**
 * What the response of a back end proves. Only an echo with a receipt is proof of execution. (docs/design.md, section
 * 9.3)
 */
public record Verdict(Kind kind, String reason) {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_RECEIPT_LENGTH = 256;

    /** What a response proves. */
    public enum Kind {
        /** The message was executed. */
        DONE,
        /** The processor will never execute it. */
        REJECTED,
        /** It was not executed, and may be later. */
        RETRY,
        /** Nothing is proven. */
        OUTCOME_UNKNOWN,
        /** The processor is executing it. */
        RUNNING,
        /** The processor does not know it. */
        UNKNOWN_MESSAGE
    }

    /** Only 429 and 503 prove that nothing was executed; other 5xx and 408 may follow the execution. */
    public static Verdict ofPush(DeliveryClient.DeliveryResponse response, String handle, int attempt) {
        if (response.status() == OK) {
            return proof(response, handle, attempt);
        }
        if (response.status() == TOO_MANY_REQUESTS || response.status() == UNAVAILABLE) {
            return new Verdict(Kind.RETRY, "answer " + response.status());
        }
        return response.status() >= BAD_REQUEST
                        && response.status() < INTERNAL_SERVER_ERROR
                        && response.status() != REQUEST_TIMEOUT
                ? new Verdict(Kind.REJECTED, "answer " + response.status())
                : new Verdict(Kind.OUTCOME_UNKNOWN, "answer " + response.status());
    }

    private static Verdict proof(DeliveryClient.DeliveryResponse response, String handle, int attempt) {
        JsonNode node = json(response.body());
        String receipt = node.path("receipt").asText("");
        boolean echo = node.path("messageId").asText("").equals(handle)
                && node.path("attempt").asInt(-1) == attempt;
        return echo && !receipt.isEmpty() && receipt.length() <= MAX_RECEIPT_LENGTH
                ? new Verdict(Kind.DONE, receipt)
                : new Verdict(Kind.OUTCOME_UNKNOWN, "an answer without proof");
    }

    /** Interprets the response to an inquiry about the outcome of a message. */
    public static Verdict ofInquiry(DeliveryClient.DeliveryResponse response, String handle) {
        JsonNode node = json(response.body());
        String state = node.path("state").asText("");
        String receipt = node.path("receipt").asText("");
        if (response.status() == NOT_FOUND || state.equals("unknown")) {
            return new Verdict(Kind.UNKNOWN_MESSAGE, "not known to the processor");
        }
        if (response.status() == OK && node.path("messageId").asText("").equals(handle)) {
            if (state.equals("done") && !receipt.isEmpty()) {
                return new Verdict(Kind.DONE, receipt);
            }
            if (state.equals("refused")) {
                return new Verdict(Kind.REJECTED, "refused by the processor");
            }
            if (state.equals("running")) {
                return new Verdict(Kind.RUNNING, "still running");
            }
        }
        return new Verdict(Kind.OUTCOME_UNKNOWN, "answer " + response.status());
    }

    private static JsonNode json(byte[] body) {
        try {
            return Configurations.read(body, JsonNode.class, ErrorKind.BAD_REQUEST);
        } catch (ServiceException failure) {
            return MissingNode.getInstance();
        }
    }
}
