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

/** Processors receive the name of a tenant as its configuration spells it. */
class TenantNameTest {
    private static final long LONGEST_WAIT_MS = 3000;

    /** Guards against a hash in X-Tenant for names with characters that internal names do not allow. */
    @ParameterizedTest
    @ValueSource(strings = {"tenant-a", "Tenant-A", "Lode & Co. 17", "a.b", "_x"})
    void jobCarriesTheConfiguredTenantName(String name) throws ServiceException {
        assertEquals(Optional.of(name), tenantOfAPulledJob(name));
    }

    /** A name that no header can carry is replaced by a hash; the job is still handed out. */
    @Test
    void nameThatNoHeaderCanCarryIsHashed() throws ServiceException {
        String tenant = tenantOfAPulledJob("M\u00fcller\nX-Seal: 1").orElseThrow();
        assertTrue(tenant.matches("x[0-9a-f]{40}"), tenant);
    }

    private static Optional<String> tenantOfAPulledJob(String name) throws ServiceException {
        PlatformFixture fixture = new PlatformFixture(31, 1);
        ConfigurationStub original = PlatformFixture.defaultConfiguration();
        ConfigurationStub renamed = new ConfigurationStub(
                original.configRevision() + 1,
                original.routes(),
                original.services(),
                List.of(new ConfigurationStub.Tenant(name, List.of(PlatformFixture.KEY), 200, 200)));
        assertEquals(200, fixture.put(renamed, original.configRevision(), 0).status());
        fixture.fleet.sim.run(Duration.ofSeconds(2));
        fixture.sendUntilAccepted("/pull/1", "body", Map.of());
        return Optional.ofNullable(
                fixture.pull("i-1", LONGEST_WAIT_MS).headers().get("X-Tenant"));
    }
}
