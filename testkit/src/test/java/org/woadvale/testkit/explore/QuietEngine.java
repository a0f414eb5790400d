package org.woadvale.testkit.explore;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.woadvale.common.replication.Replica;

/** Thousands of elections a second need not be logged. */
final class QuietEngine implements BeforeAllCallback {
    @Override
    public void beforeAll(ExtensionContext context) {
        Configurator.setAllLevels(Replica.class.getPackageName(), Level.OFF);
    }
}
