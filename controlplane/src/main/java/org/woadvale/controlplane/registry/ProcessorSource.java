package org.woadvale.controlplane.registry;

import java.util.Map;
import org.woadvale.common.membership.Processor;
import reactor.core.publisher.Mono;

/** Source of the complete list of processors: the platform, or a fake in tests. */
@FunctionalInterface
public interface ProcessorSource {
    /** Returns all processors by service and id; fails if the source cannot be read. */
    Mono<Map<String, Map<String, Processor>>> list();
}
