package lupinvalve.cli;

import java.io.PrintStream;
import lupinvalve.log.Log;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Entry point of the program: parses the command line and runs the subcommand. */
public final class Main {
    /** A subcommand of the program. */
    public interface Command {
        /** Runs the subcommand and returns the exit code. */
        int run() throws Exception;
    }

    @Argument(
            required = true,
            metaVar = "COMMAND",
            usage = "serve, call, store, check-config, rehearse, wirehost or version",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "call", impl = Call.class),
        @SubCommand(name = "store", impl = StoreCommand.class),
        @SubCommand(name = "check-config", impl = CheckConfig.class),
        @SubCommand(name = "rehearse", impl = Rehearse.class),
        @SubCommand(name = "wirehost", impl = WireHost.class),
        @SubCommand(name = "version", impl = Version.class)
    })
    private Command command;

    private Main() {}

    /** Runs the subcommand and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(args, System.err));
    }

    static int run(String[] args, PrintStream err) {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println("lupinvalve: " + e.getMessage());
            err.println("usage: lupinvalve serve [--config FILE] [--operator FILE] [--debug]");
            err.println("       lupinvalve call [--to ADDRESS] health|counters|cordon ID|uncordon ID|quiesce|resume");
            err.println(
                    "       lupinvalve store CALL [WHAT...] --operator FILE [--json] [--seconds N]    (docs/store.md)");
            err.println("       lupinvalve check-config [--config FILE] [--operator FILE]");
            err.println("       lupinvalve wirehost");
            err.println("       lupinvalve version");
            return 2;
        }
        try {
            return main.command.run();
        } catch (Exception e) {
            err.println("lupinvalve: " + String.valueOf(e.getMessage()).replace('\n', ' '));
            if (Log.isDebugEnabled()) {
                e.printStackTrace(err);
            }
            return 1;
        }
    }
}
