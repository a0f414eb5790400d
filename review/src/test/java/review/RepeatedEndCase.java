package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A job is given back unrun many times, then done; its end is taken and comes again at once. */
final class RepeatedEndCase extends Case {
    private static final int GIVEN_BACK = 64;
    private static final String KEY = "wa5xwyhks8nbkxxmibw6";
    private static final String SERVICE = "huvo11a";
    private static final double LONGEST_PULLING_S = 70;

    public static void main(String[] args) {
        new RepeatedEndCase().main(Path.of(args[0]), 3, 3, 3, 1);
    }

    @Override
    int run() throws Exception {
        String configuration = Operator.configuration(
                1,
                List.of(Operator.route("r-a", "/a/", SERVICE, 1500, 3, false)),
                List.of(Operator.service(SERVICE, false, true, "")),
                List.of(Operator.tenant("deba380", KEY, 100)));
        if (!begin(configuration)) {
            return NOT_RUN;
        }
        Client client = new Client(deployment, record, KEY);
        Http.Answer accepted = client.post(
                deployment.fronts.get(0), "/a/1", "message-1", Map.of(), "one".getBytes(StandardCharsets.UTF_8));
        if (accepted.status() != 202) {
            return NOT_RUN;
        }
        int givenBack = 0;
        double until = record.seconds() + LONGEST_PULLING_S;
        for (int turn = 0; record.seconds() < until; turn++) {
            Deployment.Node front = deployment.fronts.get(turn % deployment.fronts.size());
            Http.Answer job = pull(front);
            if (job.status() != 200) {
                record.line("pull at " + front.name + " -> " + job.status() + " " + job.failure());
                continue;
            }
            String lease = job.header("X-Lease-Id");
            record.line("pull at " + front.name + " -> 200 lease " + lease);
            if (trouble && givenBack < GIVEN_BACK) {
                givenBack += end(front, lease, "503", "").status() == 200 ? 1 : 0;
                continue;
            }
            record.line("the job runs; given back before: " + givenBack);
            return endTwice(client, accepted.header("X-Message-Ref"), front, lease);
        }
        return NOT_RUN;
    }

    private Http.Answer pull(Deployment.Node front) {
        return Http.send(
                deployment.front(front),
                "POST",
                "/-/pull/" + SERVICE,
                Map.of("X-Instance-Id", "i-7f3a91c2", "X-Poll-Wait-Ms", "1000"),
                new byte[0],
                5000);
    }

    /** The end is taken, and comes again at once. */
    private int endTwice(Client client, String reference, Deployment.Node front, String lease) throws Exception {
        Http.Answer first = end(front, lease, "200", "3e1b.07.5a2.600.0.c9f2a4d1");
        if (first.status() != 200) {
            return NOT_RUN;
        }
        Http.Answer second = end(front, lease, "200", "3e1b.07.5a2.600.0.c9f2a4d1");
        client.ask("message", reference, 3);
        return second.status() >= 400 && second.status() < 500 ? BROKEN : HELD;
    }

    private Http.Answer end(Deployment.Node front, String lease, String outcome, String seal) {
        Map<String, String> headers = new HashMap<>();
        headers.put("X-Lease-Id", lease);
        headers.put("X-Job-Outcome", outcome);
        if (!seal.isEmpty()) {
            headers.put("X-Server-Seal", seal);
        }
        Http.Answer answer = Http.send(
                deployment.front(front), "POST", "/-/job-end/message-1", headers, new byte[0], 5000);
        record.line("job-end at " + front.name + " lease " + lease + " outcome " + outcome + " -> " + answer.status()
                + " " + answer.text() + answer.failure());
        return answer;
    }
}
