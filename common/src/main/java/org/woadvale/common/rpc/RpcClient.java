package org.woadvale.common.rpc;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** ControlMessages peers; a node's name is its internal address "ip:port" (docs/design.md, section 3.1). */
public interface RpcClient {
    /** The name of this node. */
    String self();

    /** Fails with UNREACHABLE (never sent), UNKNOWN_OUTCOME (sent, no answer in time), or with the peer's own fault. */
    <T> Mono<T> call(String to, Object body, Class<T> answer, Duration limit);
}
