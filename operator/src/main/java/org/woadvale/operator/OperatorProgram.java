package org.woadvale.operator;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.function.Consumer;
import org.woadvale.common.error.ServiceException;

/** Command line tool that lists, checks and runs runbooks. It starts no other process. */
@Cli(
        name = "operator",
        description = "Lists, checks and runs runbooks",
        defaultCommand = Help.class,
        commands = {
            OperatorCommands.ListRunbooks.class,
            OperatorCommands.Check.class,
            OperatorCommands.Run.class,
            Help.class
        })
public final class OperatorProgram {
    private OperatorProgram() {}

    /** Runs the command line; exits with 0 on success, 1 if a runbook failed and 2 on any other error. */
    public static void main(String[] args) {
        System.exit(main(args, System.out::println));
    }

    static int main(String[] args, Consumer<String> out) {
        try {
            Object parsed = new com.github.rvesse.airline.Cli<Object>(OperatorProgram.class).parse(args);
            if (parsed instanceof OperatorCommands.Command command) {
                return command.execute(out);
            }
            ((Runnable) parsed).run();
            return 0;
        } catch (ParseException e) {
            out.accept("operator: " + e.getMessage());
        } catch (ServiceException failure) {
            out.accept("operator: " + failure.getMessage());
            failure.details().forEach(detail -> out.accept("  " + detail));
        }
        return 2;
    }
}
