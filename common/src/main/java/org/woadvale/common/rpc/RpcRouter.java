package org.woadvale.common.rpc;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import org.woadvale.common.error.InternalErrorException;
import org.woadvale.common.error.InvalidRequestException;
import reactor.core.publisher.Mono;

/** Dispatches requests to handlers by their type. */
public final class RpcRouter {
    private final Map<Class<?>, BiFunction<String, Object, Mono<?>>> handlers = new ConcurrentHashMap<>();

    /** Adds the handler of a type of request; the handler receives the name of the sender. */
    public <T extends RpcRequest> RpcRouter on(Class<T> type, BiFunction<String, T, Mono<?>> handler) {
        handlers.put(type, (from, body) -> handler.apply(from, type.cast(body)));
        return this;
    }

    /** Handles a request; fails with BAD_REQUEST if its type has no handler. */
    public Mono<?> handle(String from, Object body) {
        BiFunction<String, Object, Mono<?>> handler = handlers.get(body.getClass());
        if (handler == null) {
            return Mono.error(new InvalidRequestException(
                    "This node does not answer " + body.getClass().getSimpleName() + "."));
        }
        return Mono.<Object>defer(() -> handler.apply(from, body))
                .switchIfEmpty(Mono.error(() -> new InternalErrorException("No answer was made.")));
    }
}
