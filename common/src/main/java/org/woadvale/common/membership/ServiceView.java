package org.woadvale.common.membership;

import java.util.List;
import java.util.Map;
import org.woadvale.common.rpc.FirstFormatName;

/** All that the core knows of one service; applied only forward by version. design 7.1 */
public record ServiceView(
        String service,
        long version,
        @FirstFormatName("seats") Map<String, MemberLease> members,
        Map<String, Processor> processors,
        LeaderDuty duty,
        Map<String, List<String>> placement,
        @FirstFormatName("layout") byte[] configuration,
        @FirstFormatName("layoutVersion") long configurationVersion) {
    public static ServiceView blank(String service) {
        return new ServiceView(service, 0, Map.of(), Map.of(), LeaderDuty.never(), Map.of(), new byte[0], 0);
    }

    public ServiceView withMembers(long newVersion, Map<String, MemberLease> newMembers) {
        return new ServiceView(
                service, newVersion, newMembers, processors, duty, placement, configuration, configurationVersion);
    }

    public ServiceView withProcessors(long newVersion, Map<String, Processor> newProcessors) {
        return new ServiceView(
                service, newVersion, members, newProcessors, duty, placement, configuration, configurationVersion);
    }

    public ServiceView withDuty(long newVersion, LeaderDuty newDuty) {
        return new ServiceView(
                service, newVersion, members, processors, newDuty, placement, configuration, configurationVersion);
    }

    public ServiceView withPlacement(long newVersion, Map<String, List<String>> newPlacement) {
        return new ServiceView(
                service, newVersion, members, processors, duty, newPlacement, configuration, configurationVersion);
    }

    public ServiceView withConfiguration(long newVersion, byte[] newConfiguration, long newConfigurationVersion) {
        return new ServiceView(
                service, newVersion, members, processors, duty, placement, newConfiguration, newConfigurationVersion);
    }
}
