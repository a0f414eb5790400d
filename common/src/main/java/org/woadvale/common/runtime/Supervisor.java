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
    private static final Duration LOOK = Duration.ofMillis(500);
    private static final int LIMIT = 5;

    private final String name;
    private final Timers schedules;
    private final Runnable onGivenUp;
    private final List<Component> children = new ArrayList<>();
    private final Map<Component, Integer> restarts = new HashMap<>();
    private final Set<Component> pending = new HashSet<>();
    private TimerHandle looking = () -> {};
    private boolean running;
    private boolean givenUp;

    public Supervisor(String name, Timers schedules, Runnable onGivenUp) {
        this.name = name;
        this.schedules = schedules;
        this.onGivenUp = onGivenUp;
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
        looking = schedules.every(LOOK, this::look);
    }

    private synchronized void look() {
        for (Component c : children) {
            if (running && !givenUp && !c.alive() && !pending.contains(c)) {
                restart(c);
            }
        }
    }

    private void restart(Component c) {
        int n = restarts.merge(c, 1, Integer::sum);
        if (n > LIMIT) {
            LOG.error("lantern: {} died {} times, giving up.", c.name(), n);
            givenUp = true;
            onGivenUp.run();
            return;
        }
        LOG.warn("lantern: {} died, starting it again.", c.name());
        pending.add(c);
        schedules.after(LOOK.multipliedBy(1L << n), () -> startAgain(c));
    }

    private synchronized void startAgain(Component c) {
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
        looking.cancel();
        for (int i = children.size() - 1; i >= 0; i--) {
            children.get(i).stop();
            LOG.info("lantern: stopped {}.", children.get(i).name());
        }
    }

    @Override
    public synchronized boolean alive() {
        return !givenUp;
    }
}
