package org.woadvale.common.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.woadvale.common.error.ServiceException;

class ConfigurationsTest {
    private static List<String> faults(String json) {
        return assertThrows(
                        ServiceException.class,
                        () -> Configurations.parseAndValidate(json.getBytes(StandardCharsets.UTF_8)))
                .details();
    }

    @Test
    void everyFaultIsListedByPath() {
        List<String> found = faults("""
            {"tenants":{"a":{"ratePerS":0,"burstSize":0}},
             "services":{"s":{"kind":"endpoint"}},
             "lanes":{"l":{"service":"s","ordering":"none","timeLimitMs":5,"attempts":0}},"keys":{}}""");
        assertEquals(
                List.of("lanes[l].attempts", "lanes[l].timeLimitMs", "tenants[a].burstSize", "tenants[a].ratePerS"),
                found.stream()
                        .map(fault -> fault.substring(0, fault.indexOf(':')))
                        .toList());
    }

    @Test
    void crossReferenceFaultsNameTheMissingEntry() {
        List<String> found = faults("""
            {"tenants":{},"services":{"s":{"kind":"endpoint"}},
             "lanes":{"l":{"service":"gone","ordering":"none","timeLimitMs":5000,"attempts":1,"attemptMs":9000}},
             "keys":{"k":{"role":"caller","tenant":"nobody","sha256":"%s"}}}""".formatted("0".repeat(64)));
        assertEquals(
                List.of(
                        "services.s.address: an endpoint needs one",
                        "services.s.ratePerS: an endpoint needs a rate of at least 1",
                        "lanes.l.service: no service gone",
                        "lanes.l.attemptMs: longer than timeLimitMs",
                        "keys.k.tenant: no tenant nobody"),
                found);
    }

    /**
     * Guards against an endpoint that is listed twice and gets the rates of both services. A configuration that was
     * accepted before this rule existed stays usable.
     */
    @Test
    void twoServicesWithOneAddressAreAFault() throws ServiceException {
        String json = """
            {"services":{"a":{"kind":"endpoint","address":"http://10.0.0.1:80/x","ratePerS":26},
                         "b":{"kind":"endpoint","address":"http://10.0.0.1:80/x/","ratePerS":26}},"later":1}""";
        assertEquals(
                List.of("services.b.address: is a's too; it would get both rates"),
                faults(json.replace(",\"later\":1", "")));
        assertEquals(
                2,
                Configurations.readAccepted(json.getBytes(StandardCharsets.UTF_8))
                        .services()
                        .size());
    }

    @Test
    void unknownFieldsAndBrokenJsonAreFaults() {
        assertTrue(faults("{\"tenant\":{}}").get(0).startsWith("tenant: "));
        assertEquals(1, faults("{\"tenants\":").size());
        assertEquals(1, faults("{\"tenants\":{},\"tenants\":{}}").size());
    }

    /** Checks each limit, and that the default sizes are within all of them. */
    @Test
    void partitionsThatExceedRingOrHeapAreRejected() throws ServiceException {
        assertEquals(Optional.empty(), Settings.sizeFault(store(16, 16, 8), 160));
        assertEquals(
                "partMb: a part of 16 MB needs ringFileMb of at least 32",
                Settings.sizeFault(store(16, 16, 16), 4096).get());
        assertEquals(
                "partMb: 8 parts of 8 MB need a ring of 176 MB, it has 128",
                Settings.sizeFault(store(8, 16, 8), 4096).get());
        assertEquals(
                "partMb: 8 parts of 8 MB need a heap of 160 MB, it has 159",
                Settings.sizeFault(store(16, 16, 8), 159).get());
    }

    private static Settings store(int files, int fileMb, int partMb) {
        return new Settings(
                "127.0.0.1:1",
                "127.0.0.1:2",
                "h",
                List.of("127.0.0.1:3"),
                Set.of("store"),
                "d",
                files,
                fileMb,
                "",
                false,
                partMb,
                "");
    }

    @Test
    void invalidBootFileIsReportedInOneSentenceWithTheField(@TempDir Path dir) throws Exception {
        Path path = dir.resolve("boot.json");
        Files.writeString(path, """
            {"address":"nowhere","http":"127.0.0.1:1","hall":"h","seeds":["127.0.0.1:2"]}""");
        String message = assertThrows(ServiceException.class, () -> Settings.read(path.toString()))
                .getMessage();
        assertTrue(message.contains("invalid at address: "), message);
        assertTrue(message.contains("must be IP:port"), message);
        Files.writeString(path, """
            {"address":"127.0.0.1:70000","http":"127.0.0.1:1","hall":"h","seeds":["127.0.0.1:2"]}""");
        assertTrue(assertThrows(ServiceException.class, () -> Settings.read(path.toString()))
                .getMessage()
                .contains("at address: "));
        Files.writeString(path, """
            {"address":"127.0.0.1:3","http":"127.0.0.1:1","hall":"h","seeds":["127.0.0.1:2"],"roles":["store"]}""");
        String secondMessage = assertThrows(ServiceException.class, () -> Settings.read(path.toString()))
                .getMessage();
        assertTrue(secondMessage.contains("invalid at data: a store needs a data folder"), secondMessage);
    }
}
