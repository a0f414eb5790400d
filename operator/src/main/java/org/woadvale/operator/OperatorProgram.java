package org.woadvale.operator;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.function.Consumer;
import org.woadvale.common.error.ServiceException;

/** The operator's tool: runbooks that can be executed. It starts no process. */
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

    /** Runs the command line; the exit code says whether all went well. */
    public static void main(String[] args) {
        System.exit(main(args, System.out::println));
    }

    static int main(String[] args, Consumer<String> out) {
        try {
            Object object = new com.github.rvesse.airline.Cli<Object>(OperatorProgram.class).parse(args);
            if (object instanceof OperatorCommands.Command command) {
                return command.execute(out);
            }
            ((Runnable) object).run();
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
