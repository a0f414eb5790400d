package org.woadvale.common.cli;

import com.github.rvesse.airline.annotations.Command;

/** The options of the {@code run} and {@code check-boot} commands. */
@Command(name = "run", description = "Runs the program, or checks its boot file")
public final class RunCommand extends SettingsOptions {}
