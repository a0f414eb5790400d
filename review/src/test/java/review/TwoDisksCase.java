package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Two of five stores lose their disks at once, as lossTolerance allows; accepted messages must still be there. */
final class TwoDisksCase extends Case {
    private static final int MESSAGES = 60;
    private static final String KEY = "wa5xwyhks8nbkxxmibw6";

    public static void main(String[] args) {
        new TwoDisksCase().main(Path.of(args[0]), 5, 5, 3, 2);
    }

    @Override
    int run() throws Exception {
        // no processor pulls, so that every accepted message is still queued at the end
        String configuration = Operator.configuration(
                1,
                List.of(Operator.route("r-a", "/a/", "huvo11a", 1500, 3, false)),
                List.of(Operator.service("huvo11a", false, true, "")),
                List.of(Operator.tenant("deba380", KEY, 100)));
        if (!begin(configuration)) {
            return NOT_RUN;
        }
        Thread.sleep(5000);
        Client client = new Client(deployment, record, KEY);
        Map<String, byte[]> accepted = new LinkedHashMap<>();
        for (int i = 0; i < MESSAGES; i++) {
            byte[] body = ("body of message " + i).getBytes(StandardCharsets.UTF_8);
            Http.Answer answer = client.post(
                    deployment.fronts.get(i % deployment.fronts.size()), "/a/" + i, "message-" + i, Map.of(), body);
            if (answer.status() == 202) {
                accepted.put(answer.header("X-Message-Ref"), body);
            }
        }
        if (accepted.size() < MESSAGES / 2) {
            return NOT_RUN;
        }
        if (trouble) {
            loseTwoDisks();
        }
        // more than recoveryS 15 and catchUpS 6 after the machines are back
        Thread.sleep(trouble ? 30_000 : 5_000);
        return judge(client, accepted);
    }

    private void loseTwoDisks() throws Exception {
        List<Deployment.Node> lost = deployment.stores.subList(1, 3);
        for (Deployment.Node node : lost) {
            deployment.kill(node);
        }
        for (Deployment.Node node : lost) {
            deployment.loseDisk(node);
        }
        Thread.sleep(2000);
        for (Deployment.Node node : lost) {
            deployment.start(node, false);
        }
    }

    /** Every body must be returned, by whatever front node. */
    private int judge(Client client, Map<String, byte[]> accepted) throws Exception {
        int lost = 0;
        for (Map.Entry<String, byte[]> message : accepted.entrySet()) {
            Http.Answer body = client.ask("message-body", message.getKey(), lost > 2 ? 1 : 8);
            if (body.status() != 200 || !Arrays.equals(body.body(), message.getValue())) {
                client.ask("message", message.getKey(), 1);
                lost++;
            }
            if (record.seconds() > 90) {
                break;
            }
        }
        record.line("accepted " + accepted.size() + ", body not returned " + lost);
        return lost == 0 ? HELD : BROKEN;
    }
}
