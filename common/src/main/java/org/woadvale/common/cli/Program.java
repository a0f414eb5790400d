package org.woadvale.common.cli;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.woadvale.common.config.Settings;
import org.woadvale.common.error.InternalErrorException;
import org.woadvale.common.error.InvalidRequestException;
import org.woadvale.common.error.ServiceException;
import org.woadvale.common.runtime.Supervisor;
import org.woadvale.common.runtime.SystemTimers;

/** The command line of a daemon: run, check-boot, --help, --version (docs/design.md, section 10.1). */
public final class Program {
    /** The version of all programs. */
    public static final String VERSION = "0.1.0";

    private static final Logger LOG = LogManager.getLogger(Program.class);
    private static final int TIMER_THREADS = 4;

    /** Creates the supervisor of a program. */
    @FunctionalInterface
    public interface SupervisorFactory {
        /**
         * Creates the supervisor with the program's components in the order of their start, and starts none of them.
         *
         * @param onGiveUp runs when the supervisor cannot keep a component running
         */
        Supervisor create(Settings boot, SystemTimers timers, Runnable onGiveUp) throws ServiceException;
    }

    /** Checks the settings of the boot file and the command line. */
    @FunctionalInterface
    public interface SettingsValidator {
        /** Throws an exception if this program cannot run with the settings. */
        void validate(Settings boot) throws ServiceException;
    }

    /** Loads the settings, from the command line and its boot file or from the platform. */
    @FunctionalInterface
    public interface SettingsSource {
        /** Loads the settings for the given command-line arguments. */
        Settings load(String[] args) throws ServiceException;
    }

    private final String name;
    private final SettingsValidator validator;
    private final SupervisorFactory supervisorFactory;
    private final Supplier<Runnable> drainTask;
    private SettingsSource source = args -> options(args).readSettings();

    /** Creates a program that reads its settings from the command line and the boot file. */
    public Program(
            String name,
            SettingsValidator validator,
            SupervisorFactory supervisorFactory,
            Supplier<Runnable> drainTask) {
        this.name = name;
        this.validator = validator;
        this.supervisorFactory = supervisorFactory;
        this.drainTask = drainTask;
    }

    /** Replaces the source of the settings. */
    public Program withSettingsSource(SettingsSource replacement) {
        source = replacement;
        return this;
    }

    /** Drains the program, between SIGTERM and the stop of its components (docs/design.md, section 10.2). */
    public void drain() {
        drainTask.get().run();
    }

    /** Runs the command that the arguments name and returns the exit code. */
    public int main(String[] args) {
        String command = args.length == 0 ? "--help" : args[0];
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        try {
            switch (command) {
                case "run":
                    return printHelpIfRequested(rest) ? 0 : run(source.load(rest));
                case "check-boot":
                    validator.validate(source.load(rest));
                    System.out.println("The boot file is valid.");
                    return 0;
                case "--version":
                    System.out.println(name + " " + VERSION);
                    return 0;
                case "--help", "-h", "help":
                    printUsage();
                    return args.length == 0 ? 2 : 0;
                default:
                    throw new InvalidRequestException("There is no command " + command + "; see " + name + " --help.");
            }
        } catch (ServiceException failure) {
            System.err.println(name + ": " + failure.getMessage()
                    + (failure.details().isEmpty() ? "" : " " + String.join("; ", failure.details())));
            return 2;
        }
    }

    private void printUsage() throws ServiceException {
        System.out.println(name + " run --boot FILE [flags]    runs the program");
        System.out.println(name + " check-boot --boot FILE     checks a boot file and stops");
        System.out.println(name + " --version | --help");
        try {
            Help.help(SingleCommand.singleCommand(RunCommand.class).getCommandMetadata(), System.out);
        } catch (IOException e) {
            throw new InternalErrorException("The help could not be printed.");
        }
    }

    private SettingsOptions options(String[] args) throws ServiceException {
        try {
            return SingleCommand.singleCommand(RunCommand.class).parse(args);
        } catch (ParseException e) {
            throw new InvalidRequestException(e.getMessage());
        }
    }

    private boolean printHelpIfRequested(String[] arguments) throws ServiceException {
        boolean requested =
                Arrays.stream(arguments).anyMatch(argument -> argument.equals("-h") || argument.equals("--help"));
        if (requested) {
            printUsage();
        }
        return requested;
    }

    private int run(Settings boot) throws ServiceException {
        validator.validate(boot);
        SystemTimers timers = new SystemTimers(TIMER_THREADS);
        CountDownLatch shutdownRequested = new CountDownLatch(1);
        boolean[] failed = {false};
        Supervisor root = supervisorFactory.create(boot, timers, () -> {
            failed[0] = true;
            shutdownRequested.countDown();
        });
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            shutdownRequested.countDown();
            try {
                stopped.await(boot.graceMs(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            LogManager.shutdown();
        }));
        try {
            root.start();
            LOG.info("{} {} runs at {}, HTTP at {}.", name, VERSION, boot.address(), boot.http());
            shutdownRequested.await();
            drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            root.stop();
            timers.close();
            stopped.countDown();
        }
        return failed[0] ? 1 : 0;
    }
}
