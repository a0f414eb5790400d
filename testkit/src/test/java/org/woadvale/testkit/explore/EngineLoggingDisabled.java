package org.woadvale.testkit.explore;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.woadvale.common.replication.Replica;

/** Disables the logging of the replication engine, because explorations run thousands of elections per second. */
final class EngineLoggingDisabled implements BeforeAllCallback {
    @Override
    public void beforeAll(ExtensionContext context) {
        Configurator.setAllLevels(Replica.class.getPackageName(), Level.OFF);
    }
}
