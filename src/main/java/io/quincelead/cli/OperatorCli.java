package io.quincelead.cli;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The operators' command line: each command sends one JSON request to a controller and prints the
 * response.
 */
@Command(
        name = "quincelead",
        mixinStandardHelpOptions = true,
        subcommands = {
            ClassesCommands.class,
            CalendarCommands.class,
            ZonesCommands.class,
            ExplainCommand.class
        },
        footer = {
            "",
            "Exit: 0 done; 1 a file or settings that can't be used; 2 a wrong command line; 3 the"
                    + " outcome is unknown: repeat with the same",
            "--change ID; 4 refused, nothing has changed; 5 no controller answers."
        })
public final class OperatorCli {
    private OperatorCli() {}

    /**
     * Runs one command against standard output and standard error.
     *
     * @param args the whole command line, its first word the command's group
     * @return the exit code, as the help text's footer lists them
     */
    public static int run(String[] args) {
        return run(args, new PrintWriter(System.out, true), new PrintWriter(System.err, true));
    }

    static int run(String[] args, PrintWriter out, PrintWriter err) {
        return new CommandLine(new OperatorCli()).setOut(out).setErr(err).execute(args);
    }
}
