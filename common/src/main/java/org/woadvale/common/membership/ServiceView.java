package org.woadvale.common.membership;

import java.util.List;
import java.util.Map;
import org.woadvale.common.rpc.FirstFormatName;

/**
 * The core's state of one service; a view is only ever replaced by one with a higher version. (docs/design.md, section
 * 7.1)
 */
public record ServiceView(
        String service,
        long version,
        @FirstFormatName("seats") Map<String, MemberLease> members,
        Map<String, Processor> processors,
        @FirstFormatName("duty") SingletonLease singleton,
        Map<String, List<String>> placement,
        @FirstFormatName("layout") byte[] configuration,
        @FirstFormatName("layoutVersion") long configurationVersion) {
    /** The view of an unknown service. */
    public static ServiceView empty(String service) {
        return new ServiceView(service, 0, Map.of(), Map.of(), SingletonLease.none(), Map.of(), new byte[0], 0);
    }

    /** The same view with other members. */
    public ServiceView withMembers(long newVersion, Map<String, MemberLease> newMembers) {
        return new ServiceView(
                service, newVersion, newMembers, processors, singleton, placement, configuration, configurationVersion);
    }

    /** The same view with other processors. */
    public ServiceView withProcessors(long newVersion, Map<String, Processor> newProcessors) {
        return new ServiceView(
                service, newVersion, members, newProcessors, singleton, placement, configuration, configurationVersion);
    }

    /** The same view with another singleton lease. */
    public ServiceView withSingleton(long newVersion, SingletonLease newSingleton) {
        return new ServiceView(
                service, newVersion, members, processors, newSingleton, placement, configuration, configurationVersion);
    }

    /** The same view with another placement. */
    public ServiceView withPlacement(long newVersion, Map<String, List<String>> newPlacement) {
        return new ServiceView(
                service, newVersion, members, processors, singleton, newPlacement, configuration, configurationVersion);
    }

    /** The same view with another configuration. */
    public ServiceView withConfiguration(long newVersion, byte[] newConfiguration, long newConfigurationVersion) {
        return new ServiceView(
                service,
                newVersion,
                members,
                processors,
                singleton,
                placement,
                newConfiguration,
                newConfigurationVersion);
    }
}
