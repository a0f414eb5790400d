package org.woadvale.dataplane.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class VerdictTest {
    private static DeliveryClient.DeliveryResponse response(int status, String body) {
        return new DeliveryClient.DeliveryResponse(status, body.getBytes(StandardCharsets.UTF_8));
    }

    private static Verdict.Kind ofPush(int status, String body) {
        return Verdict.ofPush(response(status, body), "m0-1", 2).kind();
    }

    @Test
    void onlyAnEchoWithAReceiptIsProof() {
        assertEquals(Verdict.Kind.DONE, ofPush(200, "{\"messageId\":\"m0-1\",\"attempt\":2,\"receipt\":\"r\"}"));
        assertEquals(
                Verdict.Kind.OUTCOME_UNKNOWN, ofPush(200, "{\"messageId\":\"m0-1\",\"attempt\":1,\"receipt\":\"r\"}"));
        assertEquals(
                Verdict.Kind.OUTCOME_UNKNOWN, ofPush(200, "{\"messageId\":\"m0-2\",\"attempt\":2,\"receipt\":\"r\"}"));
        assertEquals(Verdict.Kind.OUTCOME_UNKNOWN, ofPush(200, "{\"messageId\":\"m0-1\",\"attempt\":2}"));
        assertEquals(Verdict.Kind.OUTCOME_UNKNOWN, ofPush(200, "done"));
    }

    @ParameterizedTest
    @CsvSource({
        "429, RETRY",
        "503, RETRY",
        "400, REJECTED",
        "404, REJECTED",
        "408, OUTCOME_UNKNOWN",
        "500, OUTCOME_UNKNOWN",
        "502, OUTCOME_UNKNOWN"
    })
    void otherStatusesSayWhatTheyProve(int status, Verdict.Kind kind) {
        assertEquals(kind, ofPush(status, ""));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "404; ''; UNKNOWN_MESSAGE",
                "200; {\"state\":\"unknown\"}; UNKNOWN_MESSAGE",
                "200; {\"messageId\":\"m0-1\",\"state\":\"done\",\"receipt\":\"r\"}; DONE",
                "200; {\"messageId\":\"m0-1\",\"state\":\"done\"}; OUTCOME_UNKNOWN",
                "200; {\"messageId\":\"m0-1\",\"state\":\"refused\"}; REJECTED",
                "200; {\"messageId\":\"m0-1\",\"state\":\"running\"}; RUNNING",
                "200; {\"messageId\":\"m0-2\",\"state\":\"done\",\"receipt\":\"r\"}; OUTCOME_UNKNOWN",
                "500; ''; OUTCOME_UNKNOWN"
            })
    void inquiryResponseCountsOnlyForItsOwnMessage(int status, String body, Verdict.Kind kind) {
        assertEquals(kind, Verdict.ofInquiry(response(status, body), "m0-1").kind());
    }
}
