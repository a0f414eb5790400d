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

/** Starts components in order, restarts dead ones with backoff, stops in reverse: design 2.4. */
public final class Supervisor implements Component {
    private static final Logger LOG = LogManager.getLogger("lantern");
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

    public synchronized Supervisor with(Component c) {
        children.add(c);
        return this;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public synchronized void start() throws ServiceException {
        running = true;
        for (Component c : children) {
            c.start();
            LOG.info("lantern: started {}.", c.name());
        }
        checking = timers.every(CHECK_INTERVAL, this::checkComponents);
    }

    private synchronized void checkComponents() {
        for (Component c : children) {
            if (running && !gaveUp && !c.alive() && !pending.contains(c)) {
                restart(c);
            }
        }
    }

    private void restart(Component c) {
        int n = restarts.merge(c, 1, Integer::sum);
        if (n > MAX_RESTARTS) {
            LOG.error("lantern: {} died {} times, giving up.", c.name(), n);
            gaveUp = true;
            onGiveUp.run();
            return;
        }
        LOG.warn("lantern: {} died, starting it again.", c.name());
        pending.add(c);
        timers.after(CHECK_INTERVAL.multipliedBy(1L << n), () -> restartNow(c));
    }

    private synchronized void restartNow(Component c) {
        pending.remove(c);
        if (!running || c.alive()) {
            return;
        }
        try {
            c.stop();
            c.start();
        } catch (ServiceException e) {
            LOG.error("lantern: {} did not start: {}", c.name(), e.getMessage());
        }
    }

    @Override
    public synchronized void stop() {
        running = false;
        checking.cancel();
        for (int i = children.size() - 1; i >= 0; i--) {
            children.get(i).stop();
            LOG.info("lantern: stopped {}.", children.get(i).name());
        }
    }

    @Override
    public synchronized boolean alive() {
        return !gaveUp;
    }
}
