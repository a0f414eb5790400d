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

/** Starts components in order, restarts dead ones with backoff, stops in reverse: design 2.4. */
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

    public Supervisor(String name, Timers schedules, Runnable onGivenUp) {
        this.name = name;
        this.timers = schedules;
        this.onGiveUp = onGivenUp;
    }

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
        int n = restarts.merge(component, 1, Integer::sum);
        if (n > MAX_RESTARTS) {
            LOG.error("{} failed {} times, giving up.", component.name(), n);
            gaveUp = true;
            onGiveUp.run();
            return;
        }
        LOG.warn("{} failed, restarting it.", component.name());
        pending.add(component);
        timers.after(CHECK_INTERVAL.multipliedBy(1L << n), () -> restartNow(component));
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
