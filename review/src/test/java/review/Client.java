package review;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client of one tenant: hands messages in and asks for their state and bytes. */
final class Client {
    private final Deployment deployment;
    private final Record record;
    private final String key;

    Client(Deployment deployment, Record record, String key) {
        this.deployment = deployment;
        this.record = record;
        this.key = key;
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new HashMap<>();
        headers.put("Host", "lode17.example");
        headers.put("Authorization", "Token " + key);
        return headers;
    }

    Http.Answer post(Deployment.Node front, String target, String id, Map<String, String> more, byte[] body) {
        Map<String, String> headers = headers();
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", "1200");
        headers.putAll(more);
        Http.Answer answer = Http.send(deployment.front(front), "POST", target, headers, body, 5000);
        record.line("POST " + target + " id " + id + " by " + front.name + " -> " + answer.status() + " ref "
                + answer.header("X-Message-Ref") + " " + answer.failure());
        return answer;
    }

    /** Asks one front node after another, again after each failure, until a 200 or the time is over. */
    Http.Answer ask(String place, String reference, double seconds) throws InterruptedException {
        double until = record.seconds() + seconds;
        Http.Answer answer = null;
        for (int i = 0; answer == null || record.seconds() < until; i++) {
            Deployment.Node front = deployment.fronts.get(i % deployment.fronts.size());
            answer = Http.send(
                    deployment.front(front), "GET", "/-/" + place + "/" + reference, headers(), new byte[0], 2000);
            if (answer.status() == 200) {
                break;
            }
            Thread.sleep(300);
        }
        record.line(String.format(Locale.ROOT, "GET %s %s -> %d %s %s", place, reference, answer.status(),
                place.equals("message") || answer.status() != 200 ? answer.text() : answer.body().length + " bytes",
                answer.failure()));
        return answer;
    }
}
