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

/** The command line of a daemon: run, check-boot, --help, --version. (docs/design.md, section 10.1) */
public final class Program {
    /** The version of all programs. */
    public static final String VERSION = "0.1.0";

    private static final Logger LOG = LogManager.getLogger(Program.class);
    private static final int STOP_TIMEOUT_S = 10;
    private static final int THREADS = 4;

    /** Builds the supervisor tree of the program. */
    @FunctionalInterface
    public interface SupervisorFactory {
        /** The components of the program, in the order of their start; none is started yet. */
        Supervisor create(Settings boot, SystemTimers timers, Runnable onGivenUp) throws ServiceException;
    }

    /** Refuses a boot file that this program cannot use. */
    @FunctionalInterface
    public interface SettingsValidator {
        /** Refuses settings that this program cannot run with. */
        void validate(Settings boot) throws ServiceException;
    }

    /** Where the settings come from: the command line and its file, or the platform. */
    @FunctionalInterface
    public interface SettingsSource {
        /** The settings that the command line names. */
        Settings load(String[] args) throws ServiceException;
    }

    private final String name;
    private final SettingsValidator check;
    private final SupervisorFactory tree;
    private final Supplier<Runnable> onStop;
    private SettingsSource source = args -> options(args).boot();

    /** A program that reads its settings itself. */
    public Program(String name, SettingsValidator check, SupervisorFactory tree, Supplier<Runnable> onStop) {
        this.name = name;
        this.check = check;
        this.tree = tree;
        this.onStop = onStop;
    }

    /** With boot values from elsewhere. */
    public Program withSettingsSource(SettingsSource other) {
        source = other;
        return this;
    }

    /** What is done between SIGTERM and the stop. (docs/design.md, section 10.2) */
    public void drain() {
        onStop.get().run();
    }

    /** Runs the command line and answers with the exit code. */
    public int main(String[] args) {
        String verb = args.length == 0 ? "--help" : args[0];
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        try {
            switch (verb) {
                case "run":
                    return help(rest) ? 0 : run(source.load(rest));
                case "check-boot":
                    check.validate(source.load(rest));
                    System.out.println("The boot file is valid.");
                    return 0;
                case "--version":
                    System.out.println(name + " " + VERSION);
                    return 0;
                case "--help", "-h", "help":
                    usage();
                    return args.length == 0 ? 2 : 0;
                default:
                    throw new InvalidRequestException("There is no command " + verb + "; see " + name + " --help.");
            }
        } catch (ServiceException failure) {
            System.err.println(name + ": " + failure.getMessage()
                    + (failure.details().isEmpty() ? "" : " " + String.join("; ", failure.details())));
            return 2;
        }
    }

    private void usage() throws ServiceException {
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

    private boolean help(String[] rest) throws ServiceException {
        boolean desired = Arrays.stream(rest).anyMatch(argument -> argument.equals("-h") || argument.equals("--help"));
        if (desired) {
            usage();
        }
        return desired;
    }

    private int run(Settings boot) throws ServiceException {
        check.validate(boot);
        SystemTimers timers = new SystemTimers(THREADS);
        CountDownLatch end = new CountDownLatch(1);
        boolean[] failed = {false};
        Supervisor root = tree.create(boot, timers, () -> {
            failed[0] = true;
            end.countDown();
        });
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            end.countDown();
            try {
                stopped.await(STOP_TIMEOUT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            LogManager.shutdown();
        }));
        try {
            root.start();
            LOG.info("{} {} runs at {}, HTTP at {}.", name, VERSION, boot.address(), boot.http());
            end.await();
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
