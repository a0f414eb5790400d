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

/** Starts components in order, restarts dead ones with backoff, stops in reverse (docs/design.md, section 2.4). */
public final class Supervisor implements Component {
    private static final Logger LOG = LogManager.getLogger(Supervisor.class);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_RESTARTS = 5;

    private final String name;
    private final Timers timers;
    private final Runnable onGiveUp;
    private final List<Component> children = new ArrayList<>();
    private final Map<Component, Integer> restarts = new HashMap<>();
    private final Set<Component> pending = new HashSet<>();
    private TimerHandle checking = () -> {};
    private boolean running;
    private boolean gaveUp;

    /** Without components; the task runs if one cannot be kept running. */
    public Supervisor(String name, Timers timers, Runnable onGivenUp) {
        this.name = name;
        this.timers = timers;
        this.onGiveUp = onGivenUp;
    }

    /** Adds a component; it starts after those added before. */
    public synchronized Supervisor with(Component component) {
        children.add(component);
        return this;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public synchronized void start() throws ServiceException {
        running = true;
        for (Component component : children) {
            component.start();
            LOG.info("Started {}.", component.name());
        }
        checking = timers.every(CHECK_INTERVAL, this::checkComponents);
    }

    private synchronized void checkComponents() {
        for (Component component : children) {
            if (running && !gaveUp && !component.alive() && !pending.contains(component)) {
                restart(component);
            }
        }
    }

    private void restart(Component component) {
        int restartCount = restarts.merge(component, 1, Integer::sum);
        if (restartCount > MAX_RESTARTS) {
            LOG.error("{} failed {} times, giving up.", component.name(), restartCount);
            gaveUp = true;
            onGiveUp.run();
            return;
        }
        LOG.warn("{} failed, restarting it.", component.name());
        pending.add(component);
        timers.after(CHECK_INTERVAL.multipliedBy(1L << restartCount), () -> restartNow(component));
    }

    private synchronized void restartNow(Component component) {
        pending.remove(component);
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
        checking.cancel();
        for (int i = children.size() - 1; i >= 0; i--) {
            children.get(i).stop();
            LOG.info("Stopped {}.", children.get(i).name());
        }
    }

    @Override
    public synchronized boolean alive() {
        return !gaveUp;
    }
}
