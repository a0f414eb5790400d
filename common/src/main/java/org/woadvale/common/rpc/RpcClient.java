package org.woadvale.common.rpc;

import java.time.Duration;
import reactor.core.publisher.Mono;

/** Sends requests to peers. A node is named by its internal address "ip:port" (docs/design.md, section 3.1). */
public interface RpcClient {
    /** The name of this node. */
    String self();

    /**
     * Sends a request. Fails with UNREACHABLE (not sent), with UNKNOWN_OUTCOME (sent, no response in time), or with the
     * error that the peer returned.
     */
    <T> Mono<T> call(String to, Object body, Class<T> responseType, Duration timeout);
}
