package org.woadvale.dataplane.delivery;

import com.fasterxml.jackson.databind.JsonNode;
import org.woadvale.common.config.Configurations;
import org.woadvale.common.runtime.ErrorKind;
import org.woadvale.common.runtime.ServiceException;

/** What a back end's answer means. Only an echo with a receipt is proof: design 9.3. */
public record Verdict(Kind kind, String reason) {
    public enum Kind {
        DONE,
        REJECTED,
        RETRY,
        OUTCOME_UNKNOWN,
        RUNNING,
        UNKNOWN_MESSAGE
    }

    /** Only 429 and 503 say that nothing was done; other 5xx and 408 may come after the work. */
    public static Verdict ofPush(DeliveryClient.DeliveryResponse r, String handle, int attempt) {
        if (r.status() == 200) {
            return proof(r, handle, attempt);
        }
        if (r.status() == 429 || r.status() == 503) {
            return new Verdict(Kind.RETRY, "answer " + r.status());
        }
        return r.status() >= 400 && r.status() < 500 && r.status() != 408
                ? new Verdict(Kind.REJECTED, "answer " + r.status())
                : new Verdict(Kind.OUTCOME_UNKNOWN, "answer " + r.status());
    }

    private static Verdict proof(DeliveryClient.DeliveryResponse r, String handle, int attempt) {
        JsonNode n = json(r.body());
        String receipt = n.path("receipt").asText("");
        boolean echo = n.path("messageId").asText("").equals(handle)
                && n.path("attempt").asInt(-1) == attempt;
        return echo && !receipt.isEmpty() && receipt.length() <= 256
                ? new Verdict(Kind.DONE, receipt)
                : new Verdict(Kind.OUTCOME_UNKNOWN, "an answer without proof");
    }

    /** The answer to the question what became of a message. */
    public static Verdict ofInquiry(DeliveryClient.DeliveryResponse r, String handle) {
        JsonNode n = json(r.body());
        String state = n.path("state").asText("");
        String receipt = n.path("receipt").asText("");
        if (r.status() == 404 || state.equals("unknown")) {
            return new Verdict(Kind.UNKNOWN_MESSAGE, "not known to the processor");
        }
        if (r.status() == 200 && n.path("messageId").asText("").equals(handle)) {
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
        return new Verdict(Kind.OUTCOME_UNKNOWN, "answer " + r.status());
    }

    private static JsonNode json(byte[] body) {
        try {
            return Configurations.read(body, JsonNode.class, ErrorKind.BAD_REQUEST);
        } catch (ServiceException e) {
            return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
        }
    }
}
