package org.woadvale.controlplane.registry;

import java.util.Map;
import org.woadvale.common.membership.Processor;
import reactor.core.publisher.Mono;

/** Seam to whoever knows all processors: whole lists by service and id, or a fault. design 6.7 */
@FunctionalInterface
public interface ProcessorSource {
    Mono<Map<String, Map<String, Processor>>> list();
}
