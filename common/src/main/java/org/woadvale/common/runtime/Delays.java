package org.woadvale.common.runtime;

import java.time.Duration;
import org.woadvale.common.error.ServiceException;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Time limits on the process's own schedules, so that a fake clock rules them too. */
public final class Delays {
    private Delays() {}

    /** Fails with the fault after the limit, unless the work has ended. */
    public static <T> Mono<T> timeout(Timers timers, Mono<T> work, Duration limit, ServiceException fault) {
        return Mono.create(sink -> {
            TimerHandle timer = timers.after(limit, () -> sink.error(fault));
            Disposable delay =
                    work.doFinally(signal -> timer.cancel()).subscribe(sink::success, sink::error, sink::success);
            sink.onCancel(() -> {
                timer.cancel();
                delay.dispose();
            });
        });
    }

    /** Completes after the time. */
    public static Mono<Boolean> delay(Timers timers, Duration delay) {
        return Mono.create(sink -> {
            TimerHandle timer = timers.after(delay, () -> sink.success(Boolean.TRUE));
            sink.onCancel(timer::cancel);
        });
    }
}
