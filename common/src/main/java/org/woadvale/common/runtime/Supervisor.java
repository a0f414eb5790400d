package org.woadvale.common.runtime;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.error.ServiceException;

/**
 * Starts components in order, restarts failed ones with exponential backoff and stops them in reverse order
 * (docs/design.md, section 2.4).
 */
public final class Supervisor implements Component {
    private static final Logger LOG = LogManager.getLogger(Supervisor.class);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_RESTARTS = 5;

    private final String name;
    private final Timers timers;
    private final Runnable onGiveUp;
    private final List<Component> components = new ArrayList<>();
    private final Map<Component, Integer> restartCounts = new HashMap<>();
    private final Set<Component> scheduledRestarts = new HashSet<>();
    private TimerHandle checkTimer = () -> {};
    private boolean running;
    private boolean gaveUp;

    /** Creates a supervisor without components; {@code onGiveUp} runs once a component has failed too often. */
    public Supervisor(String name, Timers timers, Runnable onGiveUp) {
        this.name = name;
        this.timers = timers;
        this.onGiveUp = onGiveUp;
    }

    /** Adds a component, which is started after those added before it. */
    public synchronized Supervisor with(Component component) {
        components.add(component);
        return this;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public synchronized void start() throws ServiceException {
        running = true;
        for (Component component : components) {
            component.start();
            LOG.info("Started {}.", component.name());
        }
        checkTimer = timers.every(CHECK_INTERVAL, this::checkComponents);
    }

    private synchronized void checkComponents() {
        for (Component component : components) {
            if (running && !gaveUp && !component.alive() && !scheduledRestarts.contains(component)) {
                restart(component);
            }
        }
    }

    private void restart(Component component) {
        int restartCount = restartCounts.merge(component, 1, Integer::sum);
        if (restartCount > MAX_RESTARTS) {
            LOG.error("{} failed {} times; the supervisor gives up.", component.name(), restartCount);
            gaveUp = true;
            onGiveUp.run();
            return;
        }
        LOG.warn("{} failed; restarting it.", component.name());
        scheduledRestarts.add(component);
        timers.after(CHECK_INTERVAL.multipliedBy(1L << restartCount), () -> restartNow(component));
    }

    private synchronized void restartNow(Component component) {
        scheduledRestarts.remove(component);
        if (!running || component.alive()) {
            return;
        }
        try {
            component.stop();
            component.start();
        } catch (ServiceException failure) {
            LOG.error("{} did not start: {}", component.name(), failure.getMessage());
        }
    }

    @Override
    public synchronized void stop() {
        running = false;
        checkTimer.cancel();
        for (int i = components.size() - 1; i >= 0; i--) {
            components.get(i).stop();
            LOG.info("Stopped {}.", components.get(i).name());
        }
    }

    @Override
    public synchronized boolean alive() {
        return !gaveUp;
    }
}
