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
}
