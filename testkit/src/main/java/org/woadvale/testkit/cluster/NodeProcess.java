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

/** One operating-system process of a test fleet. */
public final class NodeProcess {
    public final String name;
    public final String address;
    public final String http;
    private final String mainClass;
    private final Path directory;
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
        this.directory = Files.createDirectories(root.resolve(name));
        this.bootFile = directory.resolve("boot.json");
        Map<String, Object> boot = new LinkedHashMap<>();
        boot.put("address", address);
        boot.put("http", http);
        boot.put("hall", zone);
        boot.put("seeds", seeds);
        boot.put("roles", roles);
        boot.put("data", disk ? directory.resolve("data").toString() : "");
        boot.put("ringFiles", 8);
        boot.put("ringFileMb", roles.contains("store") ? 16 : 4);
        if (roles.contains("store") && System.getProperty("older", "").isEmpty()) {
            boot.put("partMb", 4);
        }
        boot.put("join", join);
        Files.write(bootFile, Configurations.write(boot));
    }

    /** Sets a field of the boot file; it takes effect at the next start. */
    public NodeProcess boot(String field, Object value) throws IOException {
        Map<String, Object> boot = new LinkedHashMap<>(
                Configurations.JSON.readerForMapOf(Object.class).readValue(bootFile.toFile()));
        boot.put(field, value);
        Files.write(bootFile, Configurations.write(boot));
        return this;
    }

    /** Sets the class path, and so the build, that the next start runs. */
    public void build(String newClasspath) {
        classpath = newClasspath;
    }

    public void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(
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
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        directory.resolve("log").toFile()));
        process = Optional.of(builder.start());
    }

    public boolean alive() {
        return process.map(Process::isAlive).orElse(false);
    }

    /** Kills the process without an orderly shutdown, as a power failure does. */
    public void kill() {
        process.ifPresent(process -> {
            process.destroyForcibly();
            waitFor(process);
        });
    }

    /** Sends SIGTERM, upon which the program drains before it exits. */
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

    public void signal(String signalName) throws IOException {
        if (alive()) {
            Process killCommand = new ProcessBuilder(
                            "kill",
                            "-" + signalName,
                            Long.toString(process.orElseThrow().pid()))
                    .start();
            waitFor(killCommand);
        }
    }

    /** Deletes the data directory, as if the disk had been lost. */
    public void loseDisk() throws IOException {
        try (var walk = Files.walk(directory.resolve("data"))) {
            for (Path path : walk.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    public Path log() {
        return directory.resolve("log");
    }
}
