package org.woadvale.controlplane.registry;

import java.util.Map;
import org.woadvale.common.membership.Processor;
import reactor.core.publisher.Mono;

/** Knows all processors: the platform, or a fake in tests. */
@FunctionalInterface
public interface ProcessorSource {
    /** All processors, by service and id; fails where the source cannot be read. */
    Mono<Map<String, Map<String, Processor>>> list();
}
