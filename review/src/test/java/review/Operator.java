package review;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's list of processors and its operator. */
final class Operator implements AutoCloseable {
    /** A second of silence is waited for, more for large bodies. */
    private static final int LARGE_BODY = 50_000;

    private final Deployment deployment;
    private final Record record;
    private final HttpServer list;
    private final List<String> instances = new ArrayList<>();

    Operator(Deployment deployment, Record record) throws IOException {
        this.deployment = deployment;
        this.record = record;
        this.list = HttpServer.create(deployment.platform(), 64);
        list.setExecutor(Executors.newCachedThreadPool(runnable -> {
            Thread thread = new Thread(runnable);
            thread.setDaemon(true);
            return thread;
        }));
        list.createContext("/instances", exchange -> {
            byte[] page;
            synchronized (instances) {
                page = ("{\"instances\":[" + String.join(",", instances) + "],\"nextToken\":null}")
                        .getBytes(StandardCharsets.UTF_8);
            }
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, page.length);
            exchange.getResponseBody().write(page);
            exchange.close();
        });
        list.start();
    }

    void list(String id, String service, String address, String zone, int slots) {
        synchronized (instances) {
            instances.add("{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                    + "\",\"configRevision\":\"v1\",\"callSlots\":" + slots
                    + ",\"state\":\"ready\",\"coldLeftMs\":0,\"instanceId\":\"" + id + "\"}");
        }
    }

    void unlist(String id) {
        synchronized (instances) {
            instances.removeIf(entry -> entry.contains("\"instanceId\":\"" + id + "\""));
        }
    }

    static String route(String name, String prefix, String service, int timeoutMs, int maxAttempts, boolean inOrder) {
        return "{\"name\":\"" + name + "\",\"host\":\"lode17.example\",\"pathPrefix\":\"" + prefix
                + "\",\"routeClass\":\"deferred\",\"timeoutMs\":" + timeoutMs
                + ",\"targetLatencyMs\":118,\"priority\":2,\"service\":\"" + service + "\",\"maxAttempts\":"
                + maxAttempts + ",\"inOrder\":" + inOrder
                + ",\"retentionS\":90.0,\"callbackUri\":false,\"startTargetMs\":800,\"keyless\":false}";
    }

    static String service(String name, boolean selfDedup, boolean pullMode, String fixedEndpoint) {
        return "{\"name\":\"" + name
                + "\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tlsMode\":false,"
                + "\"ratePerS\":0.0,\"selfDedup\":" + selfDedup + ",\"pullMode\":" + pullMode + ",\"fixedEndpoint\":"
                + (fixedEndpoint.isEmpty() ? "null" : "\"" + fixedEndpoint + "\"") + "}";
    }

    static String tenant(String name, String key, int ratePerS) {
        return "{\"name\":\"" + name + "\",\"accessKeys\":[\"" + key + "\"],\"priority\":1,\"ratePerS\":" + ratePerS
                + ",\"burstSize\":" + ratePerS + "}";
    }

    static String configuration(long revision, List<String> routes, List<String> services, List<String> tenants) {
        return "{\"configRevision\":" + revision + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" + String.join(",", tenants) + "]}";
    }

    /** Sends a configuration until it is taken, each time to the next node; false if it was not in the time given. */
    boolean put(String configuration, long base, double seconds) throws InterruptedException {
        double until = record.seconds() + seconds;
        long pause = 100;
        for (int i = 0; record.seconds() < until; i++) {
            Deployment.Node node = deployment.control.get(i % deployment.control.size());
            Map<String, String> headers = new HashMap<>();
            headers.put("Content-Type", "application/json");
            headers.put("If-Match", Long.toString(base));
            Http.Answer answer = Http.send(
                    deployment.controlAddress(node),
                    "PUT",
                    "/-/configuration",
                    headers,
                    configuration.getBytes(StandardCharsets.UTF_8),
                    configuration.length() < LARGE_BODY ? 1000 : 2000);
            record.line("PUT configuration on " + base + " to " + node.name + " -> " + answer.status() + " "
                    + answer.failure());
            if (answer.status() == 200) {
                return true;
            }
            Thread.sleep(pause);
            pause = Math.min(1000, pause * 2);
        }
        return false;
    }

    /** The newest configuration by any node, or an empty text if none gave it in the time given. */
    String get(double seconds) throws InterruptedException {
        double until = record.seconds() + seconds;
        for (int i = 0; record.seconds() < until; i++) {
            Deployment.Node node = deployment.control.get(i % deployment.control.size());
            Http.Answer answer = Http.send(
                    deployment.controlAddress(node), "GET", "/-/configuration", Map.of(), new byte[0], 2000);
            record.line("GET configuration from " + node.name + " -> " + answer.status() + " " + answer.failure());
            if (answer.status() == 200) {
                return answer.text();
            }
            Thread.sleep(300);
        }
        return "";
    }

    /** Waits until every front node that runs calls itself ready. */
    boolean awaitReady(double seconds) throws InterruptedException {
        double until = record.seconds() + seconds;
        while (record.seconds() < until) {
            if (deployment.fronts.stream().allMatch(this::ready)) {
                record.line("all front nodes are ready");
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    boolean ready(Deployment.Node node) {
        return node.running()
                && Http.send(deployment.readiness(node), "GET", "/-/readiness", Map.of(), new byte[0], 1000).status()
                        == 200;
    }

    @Override
    public void close() {
        list.stop(0);
    }
}
