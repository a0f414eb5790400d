package org.woadvale.foundation.beam;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;

import org.woadvale.foundation.lantern.ErrorKind;
import org.woadvale.foundation.lantern.Fault;

import reactor.core.publisher.Mono;

/** Which part of the process answers which kind of ask. */
public final class Router {
    private final Map<Class<?>, BiFunction<String, Object, Mono<?>>> handlers = new ConcurrentHashMap<>();

    public <T> Router on(Class<T> type, BiFunction<String, T, Mono<?>> handler) {
        handlers.put(type, (from, body) -> handler.apply(from, type.cast(body)));
        return this;
    }

    public Mono<?> handle(String from, Object body) {
        BiFunction<String, Object, Mono<?>> h = handlers.get(body.getClass());
        if (h == null) {
            return Mono.error(new Fault(ErrorKind.BAD_REQUEST,
                "This node does not answer " + body.getClass().getSimpleName() + "."));
        }
        return Mono.defer(() -> h.apply(from, body));
    }
}
