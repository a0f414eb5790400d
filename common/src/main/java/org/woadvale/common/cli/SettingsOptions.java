package org.woadvale.common.cli;

import com.github.rvesse.airline.annotations.Option;
import org.woadvale.common.config.Settings;
import org.woadvale.common.error.ServiceException;

/** The command-line options that both programs share. */
public class SettingsOptions {
    @Option(name = "--boot", title = "FILE", description = "Boot file (JSON)")
    private String bootFile = "boot.json";

    @Option(name = "--address", title = "IP:PORT", description = "Internal address, instead of the boot file's")
    private String address = "";

    @Option(name = "--http", title = "IP:PORT", description = "HTTP address, instead of the boot file's")
    private String http = "";

    @Option(name = "--hall", title = "NAME", description = "Hall of this machine, instead of the boot file's")
    private String zone = "";

    @Option(name = "--data", title = "FOLDER", description = "Data folder, instead of the boot file's")
    private String data = "";

    @Option(
            name = {"-h", "--help"},
            description = "Shows this help")
    private boolean help;

    /** Reads the boot file and applies the options, which take precedence over the file. */
    public Settings readSettings() throws ServiceException {
        return Settings.read(bootFile).withFlags(address, http, zone, data);
    }

    /** Whether the help was requested. */
    public boolean help() {
        return help;
    }
}
