package org.woadvale.common.cli;

import com.github.rvesse.airline.annotations.Command;

/** The flags of run and check-boot. */
@Command(name = "run", description = "Runs the program, or checks its boot file")
public final class RunCommand extends SettingsOptions {}
