package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The configuration changes and adds a tenant whose name has a capital letter. */
final class TenantNameCase extends Case {
    private static final String KEY = "wa5xwyhks8nbkxxmibw6";
    private static final String NEW_KEY = "kpqk8bdk9eevyxq2yyaz";
    private static final String SERVICE = "wuno96b";

    public static void main(String[] args) {
        new TenantNameCase().main(Path.of(args[0]), 3, 3, 3, 1);
    }

    @Override
    int run() throws Exception {
        Processor processor = new Processor(record, "processor", deployment.standInIp());
        operator.list("i-7f3a91c2", SERVICE, processor.address(), "zone-a", 18);
        String name = trouble ? "Kandana" : "kandana";
        List<String> routes = List.of(Operator.route("r-a", "/a/", SERVICE, 1500, 3, false));
        List<String> services = List.of(Operator.service(SERVICE, true, false, ""));
        String first = Operator.tenant("deba380", KEY, 100);
        if (!begin(Operator.configuration(1, routes, services, List.of(first)))) {
            return NOT_RUN;
        }
        List<String> tenants = List.of(first, Operator.tenant(name, NEW_KEY, 100));
        if (!operator.put(Operator.configuration(2, routes, services, tenants), 1, 10)) {
            return NOT_RUN;
        }
        Thread.sleep(4000);
        Client client = new Client(deployment, record, NEW_KEY);
        for (int i = 0; i < 6; i++) {
            byte[] body = ("body " + i).getBytes(StandardCharsets.UTF_8);
            client.post(deployment.fronts.get(i % 3), "/a/" + i, "message-" + i, Map.of(), body);
        }
        Thread.sleep(3000);
        int foreign = 0;
        synchronized (processor.runs) {
            if (processor.runs.isEmpty()) {
                return NOT_RUN;
            }
            for (Processor.Run run : processor.runs) {
                foreign += name.equals(run.headers().get("x-tenant")) ? 0 : 1;
            }
        }
        record.line("runs " + processor.runs.size() + ", of them with an X-Tenant that names another tenant "
                + foreign);
        return foreign == 0 ? HELD : BROKEN;
    }
}
