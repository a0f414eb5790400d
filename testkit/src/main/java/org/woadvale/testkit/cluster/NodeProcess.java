package org.woadvale.testkit.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.woadvale.common.config.Configurations;

/** One real process of the fleet; only the fleet dispatcher starts processes. */
public final class NodeProcess {
    public final String name;
    public final String address;
    public final String http;
    private final String mainClass;
    private final Path folder;
    private final Path bootFile;
    private Optional<Process> process = Optional.empty();
    private String classpath = System.getProperty("java.class.path");

    public NodeProcess(
            String name,
            String mainClass,
            Path root,
            String address,
            String http,
            String zone,
            List<String> seeds,
            List<String> roles,
            boolean disk,
            boolean join)
            throws IOException {
        this.name = name;
        this.mainClass = mainClass;
        this.address = address;
        this.http = http;
        this.folder = Files.createDirectories(root.resolve(name));
        this.bootFile = folder.resolve("boot.json");
        Map<String, Object> boot = new LinkedHashMap<>();
        boot.put("address", address);
        boot.put("http", http);
        boot.put("hall", zone);
        boot.put("seeds", seeds);
        boot.put("roles", roles);
        boot.put("data", disk ? folder.resolve("data").toString() : "");
        boot.put("ringFiles", 8);
        boot.put("ringFileMb", roles.contains("store") ? 16 : 4);
        if (roles.contains("store") && System.getProperty("older", "").isEmpty()) {
            boot.put("partMb", 4);
        }
        boot.put("join", join);
        Files.write(bootFile, Configurations.write(boot));
    }

    /** A field of the boot file, from the next start on. */
    public NodeProcess boot(String field, Object value) throws IOException {
        Map<String, Object> boot = new LinkedHashMap<>(
                Configurations.JSON.readerForMapOf(Object.class).readValue(bootFile.toFile()));
        boot.put(field, value);
        Files.write(bootFile, Configurations.write(boot));
        return this;
    }

    /** The build that the next start runs. */
    public void build(String newClasspath) {
        classpath = newClasspath;
    }

    public void start() throws IOException {
        List<String> cmd = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-cp",
                classpath,
                mainClass,
                "run",
                "--boot",
                bootFile.toString()));
        ProcessBuilder b = new ProcessBuilder(cmd)
                .redirectErrorStream(true)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        process = Optional.of(b.start());
    }

    public boolean alive() {
        return process.map(Process::isAlive).orElse(false);
    }

    /** Like a loss of power of the process: no orderly stop. */
    public void kill() {
        process.ifPresent(process -> {
            process.destroyForcibly();
            waitFor(process);
        });
    }

    /** SIGTERM: the program drains first. */
    public void stop() {
        process.ifPresent(process -> {
            process.destroy();
            waitFor(process);
        });
    }

    private static void waitFor(Process process) {
        try {
            if (!process.waitFor(15, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public void signal(String sig) throws IOException {
        if (alive()) {
            Process k = new ProcessBuilder(
                            "kill",
                            "-" + sig,
                            Long.toString(process.orElseThrow().pid()))
                    .start();
            waitFor(k);
        }
    }

    /** As if the disk was lost. */
    public void loseDisk() throws IOException {
        try (var walk = Files.walk(folder.resolve("data"))) {
            for (Path path : walk.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    public Path log() {
        return folder.resolve("log");
    }
}
