package org.woadvale.common.runtime;

import java.time.Duration;
import org.woadvale.common.error.ServiceException;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Timeouts and delays that run on the process's own {@link Timers}, so that simulated time applies to them too. */
public final class Delays {
    private Delays() {}

    /** Runs the work and fails with {@code failure} if it has not completed within the limit. */
    public static <T> Mono<T> timeout(Timers timers, Mono<T> work, Duration limit, ServiceException failure) {
        return Mono.create(sink -> {
            TimerHandle timer = timers.after(limit, () -> sink.error(failure));
            Disposable subscription =
                    work.doFinally(signal -> timer.cancel()).subscribe(sink::success, sink::error, sink::success);
            sink.onCancel(() -> {
                timer.cancel();
                subscription.dispose();
            });
        });
    }

    /** Completes with {@code true} after the delay. */
    public static Mono<Boolean> delay(Timers timers, Duration delay) {
        return Mono.create(sink -> {
            TimerHandle timer = timers.after(delay, () -> sink.success(Boolean.TRUE));
            sink.onCancel(timer::cancel);
        });
    }
}
