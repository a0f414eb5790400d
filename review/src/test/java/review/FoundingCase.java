package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A core process is killed once while the whole system starts for the first time, and is started again. */
final class FoundingCase extends Case {
    private static final int KILLED_AFTER_MS = 400;
    private static final int STARTED_AGAIN_AFTER_MS = 500;
    private static final double CONFIGURATION_S = 60;
    private static final String KEY = "wa5xwyhks8nbkxxmibw6";

    public static void main(String[] args) {
        new FoundingCase().main(Path.of(args[0]), 3, 3, 3, 1);
    }

    @Override
    int run() throws Exception {
        deployment.startAll();
        if (trouble) {
            Thread.sleep(KILLED_AFTER_MS);
            Deployment.Node killed = deployment.control.get(0);
            deployment.kill(killed);
            Thread.sleep(STARTED_AGAIN_AFTER_MS);
            deployment.start(killed, false);
        }
        String configuration = Operator.configuration(
                1,
                List.of(Operator.route("r-a", "/a/", "huvo11a", 1500, 3, false)),
                List.of(Operator.service("huvo11a", false, true, "")),
                List.of(Operator.tenant("deba380", KEY, 100)));
        boolean taken = operator.put(configuration, 0, CONFIGURATION_S);
        record.line("the first configuration was taken: " + taken);
        if (taken) {
            operator.awaitReady(20);
        }
        Client client = new Client(deployment, record, KEY);
        int accepted = 0;
        for (int i = 0; i < 6; i++) {
            byte[] body = ("body " + i).getBytes(StandardCharsets.UTF_8);
            Http.Answer answer =
                    client.post(deployment.fronts.get(i % 3), "/a/" + i, "message-" + i, Map.of(), body);
            accepted += answer.status() == 202 ? 1 : 0;
        }
        deployment.all().forEach(node -> record.line(node.name + " runs: " + node.running()));
        record.line("messages accepted: " + accepted);
        return taken && accepted > 0 ? HELD : BROKEN;
    }
}
