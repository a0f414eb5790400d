package org.woadvale.testkit.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.woadvale.common.error.ServiceException;
import org.woadvale.testkit.stub.ConfigurationStub;

/** Processors are told a tenant by the name that its configuration gives it. */
class TenantNameTest {
    private static final long LONGEST_WAIT_MS = 3000;

    /** Guards against a hash in X-Tenant for names with letters that names here do not have. */
    @ParameterizedTest
    @ValueSource(strings = {"tenant-a", "Tenant-A", "Lode & Co. 17", "a.b", "_x"})
    void aJobNamesItsTenantAsTheConfigurationDoes(String name) throws ServiceException {
        assertEquals(Optional.of(name), tenantOfAPulledJob(name));
    }

    /** No header can carry such a name; the job is handed out all the same. */
    @Test
    void aNameThatNoHeaderCanCarryIsStoodFor() throws ServiceException {
        String told = tenantOfAPulledJob("M\u00fcller\nX-Seal: 1").orElseThrow();
        assertTrue(told.matches("x[0-9a-f]{40}"), told);
    }

    private static Optional<String> tenantOfAPulledJob(String name) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(31, 1);
        ConfigurationStub plain = PlatformFixture.plain();
        ConfigurationStub named = new ConfigurationStub(
                plain.configRevision() + 1,
                plain.routes(),
                plain.services(),
                List.of(new ConfigurationStub.Tenant(name, List.of(PlatformFixture.KEY), 200, 200)));
        assertEquals(200, fixture.put(named, plain.configRevision(), 0).status());
        fixture.r.sim.run(Duration.ofSeconds(2));
        fixture.accepted("/pull/1", "body", Map.of());
        return Optional.ofNullable(
                fixture.pull("i-1", LONGEST_WAIT_MS).headers().get("X-Tenant"));
    }
}
